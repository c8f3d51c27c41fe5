package org.spruceridge.cli;

import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.HttpServer;
import org.spruceridge.net.NettyHttpClient;
import org.spruceridge.net.NettyLoop;
import org.spruceridge.node.Node;
import org.spruceridge.peer.NettyPeerLink;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a controller node until the process is killed. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = "Runs a controller node.")
final class ServeCommand implements Callable<Integer> {
    /** The share of the sockets that those who come to us may take; the rest is for our own calls. */
    private static final double INBOUND_SHARE = 0.8;

    @Mixin
    private SettingsFiles files;

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
        NettyPeerLink link = new NettyPeerLink(
                loop.group(),
                settings.peerListen(),
                settings.members().stream().map(Settings.Member::address).toList());
        Node node = new Node(loop, new NettyHttpClient(loop), link, random, settings, policy);
        int sockets = (int) (settings.resources().maxSockets() * INBOUND_SHARE);
        HttpServer server = new HttpServer(loop, sockets, node.handler());
        link.listen();
        server.start(settings.serveOn());
        loop.execute(node::start);
        loop.join();
        return 0;
    }
}
