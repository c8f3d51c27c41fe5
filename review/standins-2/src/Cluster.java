import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** A small deployment: controllers as processes, and stand-ins for the state service, the cloud, workers and users. */
final class Cluster {
    private final Path folder;
    private final Map<String, Object> facts;
    private final Record record;
    private final Rules rules;
    private final StateService state;
    private final Cloud cloud;
    private final Users users;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Proxy> stateProxies = new ConcurrentHashMap<>();
    private final Map<String, Proxy> serveProxies = new ConcurrentHashMap<>();
    private final Map<String, Proxy> peerProxies = new ConcurrentHashMap<>();
    private final Map<Worker, Proxy> workerProxies = new ConcurrentHashMap<>();
    private final boolean proxyWorkers;
    private volatile Worker.Runs runs = part -> 10;

    /** Creates the deployment; {@code caseFolder} gets record.txt. Nothing is started yet. */
    Cluster(Path repository, Path caseFolder, Map<String, Object> facts, List<String> zones, boolean proxyWorkers)
            throws IOException {
        this.facts = facts;
        this.proxyWorkers = proxyWorkers;
        this.folder = Files.createTempDirectory("spruceridge-review-");
        this.record = new Record(caseFolder.resolve("record.txt"));
        this.rules = new Rules(record, facts);
        this.state = new StateService(Json.map(facts.get("state")));
        for (int i = 0; i < zones.size(); i++) {
            nodes.put("ranger-" + i, new Node(repository, folder, record, "ranger-" + i, zones.get(i)));
        }
        this.cloud = new Cloud(this, Json.dbl(Json.map(facts.get("cloud")).get("list_lag_s")));
        for (Node node : nodes.values()) {
            stateProxies.put(node.name(), new Proxy(portOf(state.addressFor(node.name()))));
            serveProxies.put(node.name(), new Proxy(node.servePort()));
            peerProxies.put(node.name(), new Proxy(node.peerPort()));
        }
        for (Node node : nodes.values()) {
            List<Object> members = new ArrayList<>();
            for (Node other : nodes.values()) {
                if (other != node) {
                    members.add(Json.of("host_name", other.name(), "domain", other.zone(),
                            "peer_addr", peerProxies.get(other.name()).address()));
                }
            }
            node.writeSettings(members, stateProxies.get(node.name()).address(), cloud.address(), facts);
        }
        this.users = new Users(this, 7);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.values().forEach(Node::kill)));
    }

    private static int portOf(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    Record record() {
        return record;
    }

    Rules rules() {
        return rules;
    }

    StateService state() {
        return state;
    }

    Cloud cloud() {
        return cloud;
    }

    Users users() {
        return users;
    }

    Node node(String name) {
        return nodes.get(name);
    }

    Proxy stateProxy(String node) {
        return stateProxies.get(node);
    }

    /** Between users or workers and a node. */
    Proxy serveProxy(String node) {
        return serveProxies.get(node);
    }

    Proxy peerProxy(String node) {
        return peerProxies.get(node);
    }

    /** Between the nodes and a worker. */
    Proxy workerProxy(Worker worker) {
        return workerProxies.get(worker);
    }

    List<String> nodeNames() {
        return List.copyOf(nodes.keySet());
    }

    String serveAddress(String node) {
        return "127.0.0.1:" + nodes.get(node).servePort();
    }

    String addressForWorker(String node, Rules.Place place) {
        return serveProxies.get(node).address();
    }

    String endpointOf(Worker worker) {
        if (!proxyWorkers) {
            return worker.endpoint();
        }
        return workerProxies.computeIfAbsent(worker, any -> {
            try {
                return new Proxy(portOf(worker.endpoint()));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).address();
    }

    double leaseS() {
        return Json.dbl(Json.map(facts.get("workers")).get("lease_s"));
    }

    double reportS() {
        return Json.dbl(Json.map(facts.get("workers")).get("report_s"));
    }

    Worker.Runs runs() {
        return runs;
    }

    void setRuns(Worker.Runs newRuns) {
        runs = newRuns;
    }

    /** Starts all nodes and waits until one leads and all answer health checks. */
    void startNodes() throws IOException {
        for (Node node : nodes.values()) {
            node.start();
        }
        await("a leader and healthy nodes", 30, () -> state.leader() != null
                && nodes.keySet().stream().allMatch(name -> users.request(name, "GET", "/healthz", "", 1000).status() == 200));
        record.line("leader " + state.leader());
    }

    interface Condition {
        boolean holds();
    }

    /** Waits for a condition; the case can't run if it doesn't come true in time. */
    void await(String what, double seconds, Condition condition) {
        if (!awaitOrNot(seconds, condition)) {
            throw new CannotRun("not in " + seconds + " s: " + what);
        }
    }

    boolean awaitOrNot(double seconds, Condition condition) {
        double until = record.seconds() + seconds;
        while (record.seconds() < until) {
            if (condition.holds()) {
                return true;
            }
            Http.sleep(0.1);
        }
        return condition.holds();
    }

    /** The case could not be set up, so that it says nothing about the rule. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    /** Ends all processes, and removes the temporary folder. The nodes' logs are kept if KEEP_LOGS names a folder. */
    void stop() throws IOException {
        nodes.values().forEach(Node::kill);
        String keep = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                if (keep != null && path.toString().endsWith(".log")) {
                    Files.copy(path, Path.of(keep).resolve(path.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(path);
            }
        }
    }

    interface Body {
        /** Runs the case; returns whether the rule was broken. */
        boolean run(Cluster cluster, boolean trouble) throws Exception;
    }

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void main(String[] args, Map<String, Object> facts, List<String> zones, boolean proxyWorkers, Body body) {
        int status = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try {
            Cluster cluster = new Cluster(Path.of(args[0]), Path.of(args[1]), facts, zones, proxyWorkers);
            try {
                cluster.record.line("TROUBLE=" + (trouble ? 1 : 0));
                boolean broken = body.run(cluster, trouble);
                status = broken ? 1 : 0;
                cluster.record.line(broken ? "result: the rule was broken" : "result: the rule held");
                System.out.println(broken ? "the rule was broken" : "the rule held");
            } catch (CannotRun e) {
                cluster.record.line("result: the case couldn't run: " + e.getMessage());
                System.out.println("the case couldn't run: " + e.getMessage());
            } finally {
                cluster.stop();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
