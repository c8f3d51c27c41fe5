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
    /** The maximum delay before the server listens, for outages of the state service, when no leader is found. */
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
        // After this time without a heartbeat the worker's lease has expired: it is gone or uses another connection.
        long workerIdleTimeoutNanos = Durations.nanos(settings.workers().leaseS());
        HttpServer server = new HttpServer(loop, connectionLimiter, workerIdleTimeoutNanos, node.handler());
        transport.listen();
        startNode(node, loop, settings);
        server.start(settings.serveAddress());
        loop.join();
        return 0;
    }

    /** Starts the node and returns when it is ready, or after the maximum delay before the server must listen. */
    private static void startNode(Node node, NettyLoop loop, Settings settings) throws InterruptedException {
        CountDownLatch nodeStarted = new CountDownLatch(1);
        loop.execute(() -> node.start(nodeStarted::countDown));
        // Until this node has found the leader, it could only reject requests of workers. All workers would retry 1 s
        // later and use the CPU time that the node needs to find the leader. A refused connection costs no CPU time,
        // and the worker tries the next node.
        nodeStarted.await(Durations.nanos(settings.workers().leaseS() * MAX_LISTEN_DELAY_LEASES), TimeUnit.NANOSECONDS);
    }

    private static SplittableRandom random(Settings settings) {
        return new SplittableRandom(System.nanoTime()
                ^ System.currentTimeMillis()
                ^ settings.hostName().hashCode());
    }
}
