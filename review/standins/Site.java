package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment on loopback: three controller processes, and stand-ins for everything else. */
final class Site implements AutoCloseable {
    static final List<String> ZONES = List.of("akl-north", "chc-south", "wlg-central");
    static final double REPORT_S = 3;
    static final double LEASE_S = 22;
    static final double CANCEL_S = 42;

    /** One controller process. */
    final class Node {
        final String name;
        final int servePort;
        final int peerPort;
        final Path settings;
        volatile Process process;
        /** The port of the state service as this node sees it. */
        int statePort = state.port();

        Node(String name, int servePort, int peerPort) {
            this.name = name;
            this.servePort = servePort;
            this.peerPort = peerPort;
            this.settings = folder.resolve(name + ".json");
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(runCommand);
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().put("LOG_LEVEL", "info");
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            recorder.write(name, "process started, pid " + process.pid());
        }

        void kill() {
            recorder.write(name, "process killed");
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void signal(String signal) throws IOException, InterruptedException {
            recorder.write(name, "signal " + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean leads() {
            try {
                Http.Message metrics = Http.call(servePort, Http.request("GET", "/metrics", ""), 1000);
                return metrics.status() == 200 && metrics.json().get("leader") instanceof Map<?, ?>;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isHealthy() {
            try {
                return Http.call(servePort, Http.request("GET", "/healthz", ""), 1000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    final Recorder recorder;
    final Path root;
    final Path folder;
    final List<String> runCommand;
    final StateService state;
    final Cloud cloud;
    final List<Node> nodes = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();

    Site(Path root, Recorder recorder, double machinesHeldS) throws IOException {
        this.root = root;
        this.recorder = recorder;
        this.folder = Files.createTempDirectory("spruceridge-review");
        this.runCommand = runCommand(root);
        this.state = new StateService(8, 24);
        this.cloud = new Cloud(recorder, ZONES, machinesHeldS);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int i = 0; i < 3; i++) {
            nodes.add(new Node("ranger-" + i, Http.freePort(), Http.freePort()));
        }
        writeSettings();
    }

    /** Writes the settings file of each node. */
    void writeSettings() throws IOException {
        for (Node node : nodes) {
            Files.writeString(node.settings, Json.write(settings(node)));
        }
    }

    private static List<String> runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/service.toml has no line for run");
    }

    private Map<String, Object> settings(Node node) {
        List<Object> members = new ArrayList<>();
        for (Node other : nodes) {
            if (other != node) {
                members.add(Json.of("host_name", other.name, "domain", zoneOf(other), "peer_addr", address(other.peerPort)));
            }
        }
        List<Object> teams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            teams.add(Json.of("name", "ledger-team-0" + i, "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0));
        }
        return Json.of(
                "host_name", node.name,
                "domain", zoneOf(node),
                "serve_on", address(node.servePort),
                "peer_listen", address(node.peerPort),
                "members", members,
                "endpoints", Json.of("cloud", address(cloud.port()), "state", address(node.statePort)),
                "facts", Json.of(
                        "initial_size", 3,
                        "zones", ZONES,
                        "teams", teams,
                        "objectives", List.of(),
                        "workers", Json.of("report_s", REPORT_S, "lease_s", LEASE_S, "gang_wait_s", 45.0,
                                "gang_peer_s", 6.0, "cancel_s", CANCEL_S),
                        "state", Json.of("rps", 200.0, "write_rps", 50.0, "value_kb", 8.0, "txn_ops", 24),
                        "cloud", Json.of("rps", 6.0, "list_lag_s", 10.0),
                        "resources", Json.of("core_share", 0.255, "mem_mb", 263.0, "max_sockets", 3000),
                        "time_bound_ms", 25.0));
    }

    private static String zoneOf(Node node) {
        return node.name.equals("ranger-1") ? "wlg-central" : "akl-north";
    }

    private static String address(int port) {
        return Http.LOCAL + ":" + port;
    }

    Map<String, Integer> nodePorts() {
        Map<String, Integer> ports = new LinkedHashMap<>();
        nodes.forEach(node -> ports.put(node.name, node.servePort));
        return ports;
    }

    synchronized Worker addWorker(String name, String zone, boolean spot, Map<String, Integer> nodePorts, Worker.Ending ending)
            throws IOException {
        Worker.Site site = new Worker.Site(nodePorts, jobs, REPORT_S, LEASE_S);
        Worker worker = new Worker(recorder, site, name, zone, spot, ending, name.hashCode());
        workers.add(worker);
        return worker;
    }

    /** Starts the processes and the workers, and waits until a node leads and all nodes are healthy. */
    void start() throws IOException {
        for (Node node : nodes) {
            node.start();
        }
        for (Worker worker : workers) {
            cloud.add(worker);
        }
        await("the nodes are healthy and one leads", 25_000,
                () -> nodes.stream().allMatch(Node::isHealthy) && nodes.stream().anyMatch(Node::leads));
        workers.forEach(Worker::start);
        await("all workers have reported with a token", 15_000, () -> workers.stream().allMatch(Worker::isKnown));
    }

    Node leader() throws IOException {
        return nodes.stream().filter(Node::leads).findFirst().orElseThrow(() -> new IOException("no node leads"));
    }

    interface Condition {
        boolean holds() throws IOException;
    }

    /** Waits for a condition. If it does not come true in time, the case cannot run. */
    void await(String what, long timeoutMs, Condition condition) throws IOException {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.holds()) {
            if (System.nanoTime() > until) {
                throw new IOException("waited in vain until " + what);
            }
            Http.sleep(10);
        }
        recorder.write("case", "now " + what);
    }

    /** A job of one task of one CPU, with all fields of the protocol page. */
    Map<String, Object> job(String id, int cpus, boolean spot) {
        return Json.of("nameId", id, "lot", "interest-runs", "crew", "ledger-team-00", "shape", "sweep", "rank", "high",
                "parts", 1, "cpus", (double) cpus, "accelerators", 0.0, "memGb", 3.0, "bundle", "img-07", "pullGb", 0.2,
                "builds", null, "grove", null, "samePlace", false, "scatter", false, "windfall", spot, "expectS", 30.0,
                "markEveryS", 0.0, "markS", 0.0, "dueS", null);
    }

    /** Submits a job as a user: repeats the request until it is accepted. */
    void submit(Node node, Map<String, Object> job) throws IOException {
        jobs.put((String) job.get("nameId"), job);
        user(node, "POST", "/api/jobs", Json.write(job));
    }

    Map<String, Object> poll(Node node, String id) throws IOException {
        return user(node, "GET", "/api/jobs/" + id, "").json();
    }

    void abort(Node node, String id) throws IOException {
        user(node, "POST", "/api/jobs/" + id + "/abort", "");
    }

    private Http.Message user(Node node, String method, String target, String body) throws IOException {
        for (int i = 0; i < 20; i++) {
            recorder.write("user", method + " " + target + " to " + node.name + " " + body);
            try {
                Http.Message response = Http.call(node.servePort, Http.request(method, target, body), 5000);
                recorder.write("user", "answer of " + node.name + ": " + response.status() + " " + response.text());
                if (response.status() < 400) {
                    return response;
                }
                if (response.status() < 429 && response.status() != 404) {
                    throw new IOException("the request was rejected");
                }
            } catch (java.net.SocketException | java.io.EOFException | java.net.SocketTimeoutException e) {
                recorder.write("user", "no answer of " + node.name);
            }
            Http.sleep(1000);
        }
        throw new IOException("no useful answer to " + method + " " + target);
    }

    /** Ends all processes that this site started, and removes its folder. */
    @Override
    public synchronized void close() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
                try {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // already removed
        }
    }
}
