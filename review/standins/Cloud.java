package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page, with one machine type. Without a launcher, rentals get "no capacity". */
final class Cloud {
    private final Recorder recorder;
    private final List<String> zones;
    private final TreeMap<String, Worker> machines = new TreeMap<>();
    private final Http.Server server;
    private final long startedAt = System.nanoTime();
    private final double heldAtStartS;
    private final Map<String, Http.Message> answersByClaim = new TreeMap<>();
    private final Map<String, Long> rentedAt = new TreeMap<>();
    private Launcher launcher;
    /** While true, every request gets 503. */
    private volatile boolean outage;

    /** Creates the worker of a rented machine; it is started when the machine has booted. */
    interface Launcher {
        Worker launch(String zone, boolean spot) throws IOException;
    }

    void setLauncher(Launcher newLauncher) {
        launcher = newLauncher;
    }

    void setOutage(boolean on) {
        outage = on;
    }

    Cloud(Recorder recorder, List<String> zones, double heldAtStartS) throws IOException {
        this.recorder = recorder;
        this.zones = zones;
        this.heldAtStartS = heldAtStartS;
        this.server = new Http.Server("cloud", this::handle);
    }

    int port() {
        return server.port();
    }

    synchronized void add(Worker worker) {
        machines.put(worker.name(), worker);
    }

    /** Takes a spot machine back, as after its notice. */
    synchronized void take(String name) {
        Worker worker = machines.remove(name);
        if (worker != null) {
            recorder.write("cloud", "takes " + name + " back");
            worker.stop("the machine was taken back");
        }
    }

    private synchronized Http.Message handle(Http.Message request) throws IOException {
        if (outage) {
            return Http.response(503, "{\"error\":\"trouble\"}");
        }
        switch (request.path()) {
            case "/flavors":
                return Http.response(200, Json.of("builds", List.of(Json.of(
                        "name", "tui-quad", "cpus", 4, "accelerators", 0, "memGb", 16, "localGb", 70,
                        "fetchGbPerS", 1.0, "rate", 0.2, "lowPrice", 0.06, "startupS", 20, "groves", zones))));
            case "/hosts":
                if (request.method().equals("POST")) {
                    return rent(request.json());
                }
                return list(request);
            case "/hosts/delete": {
                List<String> names = new ArrayList<>();
                for (Object name : (List<?>) request.json().get("hosts")) {
                    names.add((String) name);
                }
                recorder.write("cloud", "asked to delete " + names);
                for (String name : names) {
                    Worker worker = machines.remove(name);
                    if (worker != null) {
                        worker.stop("the machine was deleted");
                    }
                }
                return Http.response(200, "{}");
            }
            default:
                return Http.response(400, "{\"error\":\"no such request\"}");
        }
    }

    private Http.Message rent(Map<String, Object> request) throws IOException {
        String claim = (String) request.get("claim");
        if (answersByClaim.containsKey(claim)) {
            return answersByClaim.get(claim);
        }
        int count = (int) Math.min(Json.num(request, "howMany", 0), launcher == null ? 0 : 12 - machines.size());
        if (count <= 0) {
            return Http.response(503, "{\"error\":\"no capacity\"}");
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Worker worker = launcher.launch((String) request.get("grove"), (Boolean) request.get("windfall"));
            machines.put(worker.name(), worker);
            rentedAt.put(worker.name(), System.nanoTime());
            names.add(worker.name());
            Http.daemon("boot", () -> {
                Http.sleep(1500);
                worker.start();
            });
        }
        recorder.write("cloud", "rented " + names + " for " + claim);
        answersByClaim.put(claim, Http.response(200, Json.of("hosts", names)));
        return answersByClaim.get(claim);
    }

    private Http.Message list(Http.Message request) {
        String from = request.query("from", "");
        List<Object> hosts = new ArrayList<>();
        for (Map.Entry<String, Worker> item : machines.tailMap(from, false).entrySet()) {
            Worker worker = item.getValue();
            hosts.add(Json.of("nameId", worker.name(), "endpoint", worker.endpoint(), "build", "tui-quad", "grove",
                    worker.zone(), "windfall", worker.isSpot(), "stage", "running",
                    "heldS", rentedAt.containsKey(worker.name())
                            ? (System.nanoTime() - rentedAt.get(worker.name())) / 1e9
                            : heldAtStartS + (System.nanoTime() - startedAt) / 1e9));
        }
        return Http.response(200, Json.of("hosts", hosts, "truncated", false));
    }
}
