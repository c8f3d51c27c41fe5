package org.spruceridge.sim;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.spruceridge.net.Durations;
import org.spruceridge.peer.PeerTransport;

/** The network between the nodes. It delivers peer heartbeats after 1 ms, except to and from isolated nodes. */
final class SimPeers {
    private static final long LATENCY_NANOS = Durations.millis(1);

    private final Map<String, Link> links = new TreeMap<>();
    private final Set<String> isolatedNodes = new HashSet<>();

    /** Creates a node's link to the network, which receives nothing until {@link #connect}. */
    Link link(String node, SimLoop.ProcessLoop process) {
        return new Link(node, process);
    }

    /** Connects a link in place of the link of the node's previous incarnation. */
    void connect(Link link) {
        links.put(link.node, link);
    }

    /** Drops all heartbeats to and from a node. */
    void isolate(String node) {
        isolatedNodes.add(node);
    }

    /** Ends the isolation of a node, so its heartbeats are delivered again in both directions. */
    void reconnect(String node) {
        isolatedNodes.remove(node);
    }

    /** The transport of one incarnation of a node. */
    final class Link implements PeerTransport {
        private final String node;
        private final SimLoop.ProcessLoop process;
        private Consumer<byte[]> receiver = frame -> {};

        private Link(String node, SimLoop.ProcessLoop process) {
            this.node = node;
            this.process = process;
        }

        @Override
        public void start(Consumer<byte[]> newReceiver) {
            receiver = newReceiver;
        }

        @Override
        public void broadcast(byte[] frame) {
            links.forEach((name, link) -> {
                if (!name.equals(node) && !isolatedNodes.contains(node) && !isolatedNodes.contains(name)) {
                    link.process.after(LATENCY_NANOS, () -> link.receiver.accept(frame));
                }
            });
        }
    }
}
