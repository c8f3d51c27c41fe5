package org.spruceridge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.Json;

/** The cloud, written from its published protocol, with one machine type. */
public final class SimCloud implements SimNet.Server {
    /** The CPUs of each machine. */
    static final double CPUS = 8;

    private final SimulatedCluster cluster;
    private final Map<String, List<String>> claims = new HashMap<>();
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final RateLimit calls;
    private int launched;
    private int deletionRequests;
    private int capacity = Integer.MAX_VALUE;
    private SimWorker.Behaviour behaviour = SimWorker.Behaviour.COMPLETES;

    /** A machine that was launched and not deleted; its worker runs once it has booted. */
    private static final class Host {
        private final String zone;
        private final boolean spot;
        private final long launchedAt;
        private String stage = "booting";
        private Optional<SimWorker> worker = Optional.empty();

        Host(String zone, boolean spot, long launchedAt) {
            this.zone = zone;
            this.spot = spot;
            this.launchedAt = launchedAt;
        }
    }

    SimCloud(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.calls = new RateLimit("calls of the cloud", SimulatedCluster.CLOUD_RPS, 2, cluster.loop::nanos);
    }

    /** Sets what tasks do on all machines, those launched later included. */
    public void setBehaviour(SimWorker.Behaviour next) {
        behaviour = next;
        workers().forEach(w -> w.setBehaviour(next));
    }

    /** Limits how many machines can run at one time. */
    public void limitCapacity(int machines) {
        capacity = machines;
    }

    /** Requests to delete machines so far. */
    public int deletionRequests() {
        return deletionRequests;
    }

    /** Machines that were launched and not deleted. */
    public int machineCount() {
        return hosts.size();
    }

    /** The workers that are up, in the order of their names. */
    public List<SimWorker> workers() {
        return hosts.values().stream().flatMap(host -> host.worker.stream()).toList();
    }

    /** The names of the machines that are up. */
    public List<String> machineNames() {
        return workers().stream().map(SimWorker::name).toList();
    }

    /** Crashes a machine; the listing shows it as failed 30 s later. */
    public void crash(SimWorker worker) {
        worker.kill();
        Host host = hosts.get(worker.name());
        cluster.loop.after(Durations.nanos(30), () -> host.stage = "failed");
    }

    @Override
    public void accept(HttpCall call, Consumer<HttpAnswer> answer) {
        calls.take(1);
        try {
            String path = call.target().split("\\?")[0];
            if (path.equals("/flavors")) {
                answer.accept(ok(catalogue()));
            } else if (path.equals("/hosts/delete")) {
                deletionRequests++;
                Json.list(Json.object(call.body()), "hosts").forEach(n -> remove(n.asText()));
                answer.accept(ok(Json.object()));
            } else if (call.method().equals("POST")) {
                answer.accept(launch(Json.object(call.body())));
            } else {
                answer.accept(ok(list()));
            }
        } catch (BadMessageException e) {
            throw new AssertionError(e);
        }
    }

    private void remove(String name) {
        Host host = hosts.remove(name);
        if (host != null) {
            host.worker.ifPresent(SimWorker::kill);
        }
    }

    private HttpAnswer launch(JsonNode body) throws BadMessageException {
        String claim = Json.text(body, "claim");
        if (!claims.containsKey(claim)) {
            int n = (int) Math.min(Json.nonNegativeLong(body, "howMany"), capacity - hosts.size());
            if (n <= 0) {
                return new HttpAnswer(503, Json.bytes(Json.object().put("error", "no capacity")));
            }
            List<String> names = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                names.add(launchMachine(Json.text(body, "grove"), Json.bool(body, "windfall")));
            }
            claims.put(claim, names);
        }
        ArrayNode names = Json.array();
        claims.get(claim).forEach(names::add);
        return ok(Json.object().set("hosts", names));
    }

    private String launchMachine(String zone, boolean spot) {
        String name = String.format("i-%06d", launched++);
        Host host = new Host(zone, spot, cluster.loop.nanos());
        hosts.put(name, host);
        cluster.loop.after(Durations.nanos(SimulatedCluster.MACHINE_BOOT_S), () -> {
            if (hosts.containsKey(name)) {
                SimWorker worker = new SimWorker(cluster, name, zone, spot);
                worker.setBehaviour(behaviour);
                host.worker = Optional.of(worker);
                host.stage = "running";
            }
        });
        return name;
    }

    private ObjectNode list() {
        ObjectNode out = Json.object().put("truncated", false);
        ArrayNode list = out.putArray("hosts");
        hosts.forEach((name, h) -> list.addObject()
                .put("nameId", name)
                .put("endpoint", "10.1.0.1:9000")
                .put("build", "t8")
                .put("grove", h.zone)
                .put("windfall", h.spot)
                .put("stage", h.stage)
                .put("heldS", Durations.seconds(cluster.loop.nanos() - h.launchedAt)));
        return out;
    }

    private static ObjectNode catalogue() {
        ObjectNode out = Json.object();
        ObjectNode type = out.putArray("builds").addObject();
        type.put("name", "t8")
                .put("cpus", CPUS)
                .put("accelerators", 0)
                .put("memGb", 32)
                .put("localGb", 50)
                .put("fetchGbPerS", 1.0)
                .put("rate", 1.0)
                .put("lowPrice", 0.3)
                .put("startupS", SimulatedCluster.MACHINE_BOOT_S);
        type.putArray("groves").add("z1").add("z2");
        return out;
    }

    private static HttpAnswer ok(JsonNode body) {
        return new HttpAnswer(200, Json.bytes(body));
    }
}
