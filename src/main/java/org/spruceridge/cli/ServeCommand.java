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
    /** It listens after this share of a lease at the latest: in an outage of the state service nobody knows a leader. */
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
        log.info("{} starts, in {}", settings.hostName(), settings.zone());
        NettyLoop loop = new NettyLoop();
        SplittableRandom random = new SplittableRandom(System.nanoTime()
                ^ System.currentTimeMillis()
                ^ settings.hostName().hashCode());
        NettyPeerTransport transport = new NettyPeerTransport(
                loop.group(),
                settings.peerListen(),
                settings.members().stream().map(Settings.Member::address).toList());
        ConnectionLimiter connectionLimiter =
                new ConnectionLimiter(settings.resources().maxSockets());
        Node node = new Node(loop, new NettyHttpClient(loop, connectionLimiter), transport, random, settings, policy);
        // A worker that has not reported for a lease has lost it: it is gone, or comes on another connection.
        long workerIdleNanos = Durations.nanos(settings.workers().leaseS());
        HttpServer server = new HttpServer(loop, connectionLimiter, workerIdleNanos, node.handler());
        transport.listen();
        CountDownLatch ready = new CountDownLatch(1);
        loop.execute(() -> node.start(ready::countDown));
        // Until it knows the leader it could only turn workers away. They would all be back a second later, and keep it
        // from finding out. A refused connection costs nothing, and they go on to the next node.
        ready.await(Durations.nanos(settings.workers().leaseS() * MAX_LISTEN_DELAY_LEASES), TimeUnit.NANOSECONDS);
        server.start(settings.serveOn());
        loop.join();
        return 0;
    }
}
