import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page: flavors, rentals, deletions and a list that lags. */
final class Cloud {
    private static final class Host {
        String name;
        String build;
        String zone;
        boolean spot;
        double rentedAt;
        double upAt;
        double goneAt = Double.MAX_VALUE;
        double failedAt = Double.MAX_VALUE;
        Worker worker;
    }

    private final Cluster cluster;
    private final Map<String, Map<String, Object>> builds = new TreeMap<>();
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final Map<String, List<Object>> claims = new HashMap<>();
    private final Map<String, Integer> capacity = new HashMap<>();
    private final double listLagS;
    private final Http.Server server;
    private int lastHost = 100;
    private boolean outage;
    private int rentalRequests;
    private double lastRentalRequestAt = -1;

    Cloud(Cluster cluster, double listLagS) throws IOException {
        this.cluster = cluster;
        this.listLagS = listLagS;
        this.server = new Http.Server(this::handle);
        Http.daemon("boots", this::bootLoop);
    }

    String address() {
        return server.address();
    }

    synchronized void addBuild(Map<String, Object> build) {
        builds.put((String) build.get("name"), build);
    }

    /** Limits the number of machines of a zone and kind that can be rented in addition to those that are up. */
    synchronized void setCapacity(String zone, boolean spot, int count) {
        capacity.put(zone + spot, count);
    }

    synchronized void setOutage(boolean on) {
        outage = on;
    }

    /** Adds a machine that was rented long ago and is up. */
    synchronized Worker addRunning(String build, String zone, boolean spot) {
        Host host = add(build, zone, spot, cluster.record().seconds() - 600, 0);
        boot(host);
        return host.worker;
    }

    /** The workers of the machines that are up. */
    synchronized List<Worker> workers() {
        return hosts.values().stream()
                .filter(host -> host.worker != null && host.goneAt == Double.MAX_VALUE
                        && host.failedAt == Double.MAX_VALUE)
                .map(host -> host.worker)
                .toList();
    }

    /** The number of machines that are rented and not gone. */
    synchronized long rentedCount() {
        return hosts.values().stream().filter(host -> host.goneAt == Double.MAX_VALUE).count();
    }

    synchronized int rentalRequests() {
        return rentalRequests;
    }

    synchronized double lastRentalRequestAt() {
        return lastRentalRequestAt;
    }

    /** A machine dies: it stays listed as running for about 30 s. */
    void die(Worker worker) {
        synchronized (this) {
            Host host = hosts.get(worker.place().host());
            host.failedAt = cluster.record().seconds();
            cluster.record().line("machine dies " + host.name);
        }
        worker.die();
    }

    /** The cloud takes a spot machine back. */
    void take(Worker worker) {
        synchronized (this) {
            Host host = hosts.get(worker.place().host());
            if (host.goneAt < Double.MAX_VALUE) {
                return;
            }
            host.goneAt = cluster.record().seconds();
            cluster.record().line("machine taken " + host.name);
        }
        worker.die();
    }

    private Host add(String build, String zone, boolean spot, double rentedAt, double bootS) {
        Host host = new Host();
        host.name = String.format("i-%06d", ++lastHost);
        host.build = build;
        host.zone = zone;
        host.spot = spot;
        host.rentedAt = rentedAt;
        host.upAt = cluster.record().seconds() + bootS;
        hosts.put(host.name, host);
        return host;
    }

    private void boot(Host host) {
        try {
            host.worker = new Worker(cluster, new Rules.Place(host.name, host.build, host.zone, host.spot),
                    builds.get(host.build), host.name.hashCode());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        cluster.record().line("machine up " + host.name + " " + host.zone + (host.spot ? " spot" : ""));
    }

    private void bootLoop() {
        while (true) {
            synchronized (this) {
                for (Host host : hosts.values()) {
                    if (host.worker == null && host.goneAt == Double.MAX_VALUE
                            && cluster.record().seconds() >= host.upAt) {
                        boot(host);
                    }
                }
            }
            Http.sleep(0.1);
        }
    }

    private Http.Response handle(Http.Request request) {
        Http.sleep(0.1);
        String path = request.path();
        if (path.equals("/hosts/delete")) {
            return delete(Json.list(Json.object(request.body()).get("hosts")));
        }
        synchronized (this) {
            if (outage) {
                return Http.Response.of(503, Json.of("error", "trouble"));
            }
            if (path.equals("/flavors")) {
                return Http.Response.of(200, Json.of("builds", List.copyOf(builds.values())));
            }
            if (path.equals("/hosts")) {
                return rent(Json.object(request.body()));
            }
            return list(path);
        }
    }

    private Http.Response rent(Map<String, Object> body) {
        rentalRequests++;
        lastRentalRequestAt = cluster.record().seconds();
        String claim = (String) body.get("claim");
        if (!claims.containsKey(claim)) {
            String zone = (String) body.get("grove");
            boolean spot = (Boolean) body.get("windfall");
            int left = capacity.getOrDefault(zone + spot, 1000);
            int count = (int) Math.min(Math.min(50, left), Json.num(body.get("howMany")));
            cluster.record().line("rent " + Json.write(body) + " -> " + count);
            if (count == 0) {
                return Http.Response.of(503, Json.of("error", "no capacity"));
            }
            capacity.computeIfPresent(zone + spot, (key, any) -> left - count);
            List<Object> names = new ArrayList<>();
            double bootS = Json.dbl(builds.get((String) body.get("build")).get("startupS"));
            for (int i = 0; i < count; i++) {
                names.add(add((String) body.get("build"), zone, spot, cluster.record().seconds(), bootS).name);
            }
            claims.put(claim, names);
        }
        return Http.Response.of(200, Json.of("hosts", claims.get(claim)));
    }

    private Http.Response delete(List<Object> names) {
        List<Worker> deleted = new ArrayList<>();
        synchronized (this) {
            if (outage) {
                return Http.Response.of(503, Json.of("error", "trouble"));
            }
            cluster.record().line("delete " + names);
            for (Object name : names) {
                Host host = hosts.get((String) name);
                if (host != null && host.goneAt == Double.MAX_VALUE) {
                    host.goneAt = cluster.record().seconds();
                    capacity.computeIfPresent(host.zone + host.spot, (key, left) -> left + 1);
                    if (host.worker != null) {
                        deleted.add(host.worker);
                    }
                }
            }
        }
        deleted.forEach(Worker::die);
        return Http.Response.of(200, Json.of());
    }

    private Http.Response list(String path) {
        String from = "";
        int limit = 500;
        for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
            if (pair.startsWith("from=")) {
                from = pair.substring(5);
            } else if (pair.startsWith("limit=")) {
                limit = Integer.parseInt(pair.substring(6));
            }
        }
        double asOf = cluster.record().seconds() - listLagS;
        List<Object> listed = new ArrayList<>();
        boolean truncated = false;
        for (Host host : hosts.values()) {
            if (host.name.compareTo(from) > 0 && host.rentedAt <= asOf && host.goneAt > asOf) {
                if (listed.size() >= limit) {
                    truncated = true;
                    break;
                }
                boolean failed = host.failedAt + 30 <= asOf;
                boolean up = host.worker != null && host.upAt <= asOf;
                listed.add(Json.of(
                        "nameId", host.name, "endpoint", host.worker == null ? "" : cluster.endpointOf(host.worker),
                        "build", host.build, "grove", host.zone, "windfall", host.spot,
                        "stage", failed ? "failed" : up ? "running" : "booting", "heldS", asOf - host.rentedAt));
            }
        }
        return Http.Response.of(200, Json.of("hosts", listed, "truncated", truncated));
    }
}
