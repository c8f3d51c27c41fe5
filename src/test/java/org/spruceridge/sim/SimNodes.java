package org.spruceridge.sim;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.spruceridge.config.Address;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.Request;

/** The controller nodes of a simulated cluster: they start, crash, pause, and change their version. */
public final class SimNodes {
    private final SimLoop loop;
    private final SimNet net;
    private final NodeSettings settings;
    private final List<String> names;
    private final SimPeers peers = new SimPeers();
    private final Map<String, Running> nodes = new TreeMap<>();
    private final Set<String> ready = new HashSet<>();
    private final Set<String> onProductionVersion = new HashSet<>();
    private int incarnations;

    private record Running(SimNode node, SimLoop.Process process) {
        boolean leads() {
            return !process.isStopped() && node.leads();
        }
    }

    SimNodes(SimLoop loop, SimNet net, NodeSettings settings, List<String> names) {
        this.loop = loop;
        this.net = net;
        this.settings = settings;
        this.names = names;
    }

    /** The names of all nodes, whether they run or not. */
    List<String> names() {
        return names;
    }

    SimNode node(String name) {
        return nodes.get(name).node;
    }

    /** From their next start on all nodes run the version in production. */
    void useProductionVersion() {
        onProductionVersion.addAll(names);
    }

    /** Starts a node for the first time, or again after a crash. */
    public void start(String name) {
        SimLoop.Process process = new SimLoop.Process(loop);
        SimPeers.Link link = peers.link(name, process);
        SimNode.Parts parts = new SimNode.Parts(
                process, net.client(name, process), link, new SplittableRandom(++incarnations), settings.of(name));
        SimNode node = runsProductionVersion(name) ? ProductionVersion.node(parts) : SimNode.current(parts);
        nodes.put(name, new Running(node, process));
        peers.connect(link);
        serve(SimulatedCluster.address(name), node, process);
        process.after(0, () -> node.start(() -> ready.add(name)));
    }

    private void serve(Address address, SimNode node, SimLoop.Process process) {
        net.serve(
                address,
                (call, answer) -> process.after(
                        0,
                        () -> node.handle(new Request(call.method(), call.target(), call.body()), response -> {
                            if (!process.isStopped()) {
                                answer.accept(new HttpAnswer(response.status(), response.body()));
                            }
                        })));
    }

    /** Starts a node again unless it runs. */
    public void startIfStopped(String name) {
        if (isStopped(name)) {
            start(name);
        }
    }

    /** Stops a node as a kill without a signal does. */
    public void crash(String name) {
        ready.remove(name);
        nodes.get(name).process.kill();
        net.remove(SimulatedCluster.address(name));
    }

    /** Crashes the leader, if there is one, and starts it again after a while. */
    public void crashLeader(double restartAfterS) {
        leader().ifPresent(name -> {
            crash(name);
            restartAfter(name, restartAfterS);
        });
    }

    /** Stops a node and starts it again with this version after a while, as its turn in a rolling upgrade. */
    public void upgrade(String name, double restartAfterS) {
        crash(name);
        onProductionVersion.remove(name);
        restartAfter(name, restartAfterS);
    }

    /** Stops a node and starts it again with the version in production after a while. */
    public void downgrade(String name, double restartAfterS) {
        crash(name);
        onProductionVersion.add(name);
        restartAfter(name, restartAfterS);
    }

    private void restartAfter(String name, double seconds) {
        loop.after(Durations.nanos(seconds), () -> startIfStopped(name));
    }

    /** True if the node runs, or ran last, the version in production. */
    public boolean runsProductionVersion(String name) {
        return onProductionVersion.contains(name);
    }

    /** Pauses a node's process while its clocks run on. */
    public void pause(String name, double seconds) {
        nodes.get(name).process.pause(seconds);
    }

    /** Partitions a node from the other nodes, in both directions. */
    public void isolateFromPeers(String name) {
        peers.isolate(name);
    }

    /** Ends {@link #isolateFromPeers}. */
    public void reconnectToPeers(String name) {
        peers.reconnect(name);
    }

    /** True once the node has found out since its start which node leads. */
    public boolean isReady(String name) {
        return ready.contains(name);
    }

    private boolean isStopped(String name) {
        return nodes.get(name).process.isStopped();
    }

    /** The node that leads. */
    Optional<String> leader() {
        return nodes.entrySet().stream()
                .filter(entry -> entry.getValue().leads())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** The nodes that run, in the order of their names. */
    public List<String> running(Predicate<String> filter) {
        return names.stream()
                .filter(name -> !isStopped(name) && filter.test(name))
                .toList();
    }
}
