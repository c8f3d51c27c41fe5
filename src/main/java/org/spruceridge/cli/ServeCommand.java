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
    /**
     * The maximum time that the server waits for the node to become ready before it listens, in worker leases. The node
     * can take longer if it finds no leader, for example during an outage of the state service.
     */
    private static final double MAX_LISTEN_DELAY_LEASES = 0.125;

    private final SettingsFiles files = new SettingsFiles();

    static CommandSpec createSpec() {
        ServeCommand command = new ServeCommand();
        return command.files.addOptionsTo(Commands.newSpec("serve", "Runs a controller node.", command));
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
                settings.peerListenAddress(),
                settings.members().stream().map(Settings.Member::address).toList());
        ConnectionLimiter connectionLimiter =
                new ConnectionLimiter(settings.resources().maxSockets());
        Node node = new Node(
                loop, new NettyHttpClient(loop, connectionLimiter), transport, random(settings), settings, policy);
        // The lease of a worker that sends no heartbeat for this time has expired. The worker of a connection without
        // heartbeats for this time is therefore gone or uses another connection.
        long workerIdleTimeoutNanos = Durations.nanos(settings.workers().leaseS());
        HttpServer server = new HttpServer(loop, connectionLimiter, workerIdleTimeoutNanos, node.handler());
        transport.listen();
        startNodeAndAwaitReadiness(node, loop, settings);
        server.start(settings.serveAddress());
        loop.join();
        return 0;
    }

    /** Starts the node and returns when the node is ready, at the latest after the maximum delay. */
    private static void startNodeAndAwaitReadiness(Node node, NettyLoop loop, Settings settings)
            throws InterruptedException {
        CountDownLatch nodeStarted = new CountDownLatch(1);
        loop.execute(() -> node.start(nodeStarted::countDown));
        // Until this node has found the leader, it could only reject requests of workers. All workers would retry 1 s
        // later, and their requests would use the CPU time that the node needs to find the leader. A refused connection
        // costs this node no CPU time, and the worker tries the next node.
        nodeStarted.await(Durations.nanos(settings.workers().leaseS() * MAX_LISTEN_DELAY_LEASES), TimeUnit.NANOSECONDS);
    }

    private static SplittableRandom random(Settings settings) {
        return new SplittableRandom(System.nanoTime()
                ^ System.currentTimeMillis()
                ^ settings.hostName().hashCode());
    }
}
