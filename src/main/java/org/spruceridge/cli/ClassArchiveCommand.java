package org.spruceridge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.config.Address;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.ConnectionLimiter;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpServer;
import org.spruceridge.net.Json;
import org.spruceridge.net.NettyHttpClient;
import org.spruceridge.net.NettyLoop;
import org.spruceridge.node.Node;
import org.spruceridge.peer.NettyPeerTransport;
import org.spruceridge.worker.WorkerHeartbeat;
import picocli.CommandLine.Model.CommandSpec;

/**
 * Runs a node on the loopback interface for a short time, without the services that the node needs. The run loads the
 * classes for the class data sharing archive, which the build writes to speed up startup.
 */
final class ClassArchiveCommand implements Callable<Integer> {
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The time during which peer heartbeats and retries run; their classes are thereby included in the archive. */
    private static final long BACKGROUND_RUN_MILLIS = 1500;

    static CommandSpec createSpec() {
        CommandSpec spec = Commands.newSpec(
                "rehearse", "Loads the classes that a start needs and exits.", new ClassArchiveCommand());
        spec.usageMessage().hidden(true);
        return spec;
    }

    @Override
    public Integer call() throws Exception {
        Settings settings = settings();
        NettyLoop loop = new NettyLoop();
        NettyPeerTransport transport = new NettyPeerTransport(
                loop.group(), settings.peerListenAddress(), List.of(settings.peerListenAddress()));
        ConnectionLimiter connectionLimiter =
                new ConnectionLimiter(settings.resources().maxSockets());
        NettyHttpClient client = new NettyHttpClient(loop, connectionLimiter);
        Node node = new Node(loop, client, transport, new SplittableRandom(1), settings, Policy.defaults());
        transport.listen();
        new HttpServer(loop, connectionLimiter, REQUEST_TIMEOUT_NANOS, node.handler()).start(settings.serveAddress());
        loop.execute(() -> node.start(() -> {}));
        sendRequests(loop, client, settings.serveAddress());
        TimeUnit.MILLISECONDS.sleep(BACKGROUND_RUN_MILLIS);
        loadOwnClasses();
        return 0;
    }

    private static void sendRequests(NettyLoop loop, NettyHttpClient client, Address server)
            throws InterruptedException {
        List<HttpCall> calls = List.of(
                HttpCall.get("/healthz"),
                HttpCall.post("/hello", Json.bytes(heartbeat())),
                HttpCall.post("/api/jobs", Json.bytes(job())),
                HttpCall.get("/api/jobs/j-000001"));
        CountDownLatch responses = new CountDownLatch(calls.size());
        for (HttpCall call : calls) {
            loop.execute(() -> client.call(server, call, REQUEST_TIMEOUT_NANOS, response -> responses.countDown()));
        }
        responses.await();
    }

    private static void loadOwnClasses() throws IOException, URISyntaxException, ClassNotFoundException {
        Path jar = Path.of(ClassArchiveCommand.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .toURI());
        try (JarFile file = new JarFile(jar.toFile())) {
            for (String name : file.stream().map(entry -> entry.getName()).toList()) {
                if (name.startsWith("org/spruceridge/") && name.endsWith(".class")) {
                    Class.forName(
                            name.substring(0, name.length() - ".class".length()).replace('/', '.'));
                }
            }
        }
    }

    private static Settings settings() throws IOException {
        Address serveAddress = new Address("127.0.0.1", freePort());
        ObjectNode settings = Json.object()
                .put("host_name", "rehearsal")
                .put("domain", "here")
                .put("serve_on", serveAddress.toString())
                .put("peer_listen", new Address("127.0.0.1", freePort()).toString());
        settings.putArray("members");
        settings.putObject("endpoints").put("cloud", serveAddress.toString()).put("state", serveAddress.toString());
        ObjectNode facts = settings.putObject("facts");
        facts.putArray("zones");
        facts.putArray("teams");
        facts.putObject("workers").put("report_s", 1).put("lease_s", 10).put("cancel_s", 30);
        facts.putObject("state")
                .put("rps", 100)
                .put("write_rps", 100)
                .put("value_kb", 4)
                .put("txn_ops", 8);
        facts.putObject("cloud").put("rps", 10);
        facts.putObject("resources").put("core_share", 1).put("mem_mb", 100).put("max_sockets", 100);
        return Settings.read(settings);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static JsonNode heartbeat() {
        MachineKind kind = new MachineKind("any", "here", false);
        return new WorkerHeartbeat("i-000001", "127.0.0.1:1", kind, 1, 1, 0, OptionalDouble.empty(), ImmutableList.of())
                .toJson();
    }

    private static JsonNode job() {
        return Json.object()
                .put("nameId", "j-000001")
                .put("lot", "any")
                .put("crew", "any")
                .put("shape", "sweep")
                .put("rank", "normal")
                .put("parts", 1)
                .put("cpus", 1.0)
                .put("accelerators", 0.0)
                .put("memGb", 1.0)
                .put("bundle", "any")
                .put("pullGb", 1.0)
                .put("samePlace", false)
                .put("scatter", false)
                .put("windfall", false)
                .put("expectS", 1.0)
                .put("markEveryS", 0.0)
                .put("markS", 0.0);
    }
}
