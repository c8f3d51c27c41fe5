package org.spruceridge.cli;

import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.ConnectionLimiter;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpServer;
import org.spruceridge.net.NettyHttpClient;
import org.spruceridge.net.NettyLoop;
import org.spruceridge.node.Node;
import org.spruceridge.peer.NettyPeerTransport;
import picocli.CommandLine.Model.CommandSpec;

/** Runs a controller node until the process is killed. */
final class ServeCommand implements Callable<Integer> {
    /** The server listens after this time at the latest: in an outage of the state service no leader is known. */
    private static final double MAX_LISTEN_DELAY_LEASES = 0.125;

    private final SettingsFiles files = new SettingsFiles();

    static CommandSpec describe() {
        ServeCommand command = new ServeCommand();
        return command.files.addTo(Commands.describe("serve", "Runs a controller node.", command));
    }

    @Override
    public Integer call() throws InterruptedException {
        Settings settings = files.settings();
        Policy policy = files.policy();
        Logger log = LoggerFactory.getLogger(ServeCommand.class);
        log.info("controller starting node={} zone={}", settings.hostName(), settings.zone());
        NettyLoop loop = new NettyLoop();
        NettyPeerTransport transport = new NettyPeerTransport(
                loop.group(),
                settings.peerListen(),
                settings.members().stream().map(Settings.Member::address).toList());
        ConnectionLimiter connectionLimiter =
                new ConnectionLimiter(settings.resources().maxSockets());
        Node node = new Node(
                loop, new NettyHttpClient(loop, connectionLimiter), transport, random(settings), settings, policy);
        // The lease of a worker that sent no heartbeat for this time has expired: it is gone, or uses another
        // connection.
        long workerIdleNanos = Durations.nanos(settings.workers().leaseS());
        HttpServer server = new HttpServer(loop, connectionLimiter, workerIdleNanos, node.handler());
        transport.listen();
        startNode(node, loop, settings);
        server.start(settings.serveOn());
        loop.join();
        return 0;
    }

    /** Returns when the node is ready, or when it has to listen all the same. */
    private static void startNode(Node node, NettyLoop loop, Settings settings) throws InterruptedException {
        CountDownLatch ready = new CountDownLatch(1);
        loop.execute(() -> node.start(ready::countDown));
        // Until this node knows the leader it could only refuse workers. All would retry a second later, and take the
        // processor time it needs to find the leader. A refused connection is free, and workers try the next node.
        ready.await(Durations.nanos(settings.workers().leaseS() * MAX_LISTEN_DELAY_LEASES), TimeUnit.NANOSECONDS);
    }

    private static SplittableRandom random(Settings settings) {
        return new SplittableRandom(System.nanoTime()
                ^ System.currentTimeMillis()
                ^ settings.hostName().hashCode());
    }
}
