import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** The state service of the protocol page: one consistent store, leases, watches, limits, outages and refusals. */
final class StateService {
    private static final int MAX_LOG = 10_000;

    private record Entry(Object value, long stamp, long permit) {}

    private record Change(String key, Object value, long stamp, boolean drop) {}

    private static final class Lease {
        long ttlNanos;
        long expiresAt;
    }

    private final double rps;
    private double writeRps;
    private int maxOps;
    private double valueKb;
    private final TreeMap<String, Entry> store = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<Change> log = new ArrayDeque<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, Http.Server> servers = new ConcurrentHashMap<>();
    private long ring = 1;
    private long lastPermit;
    private boolean outage;
    private double requestTokens;
    private double writeTokens;
    private long tokensAt = System.nanoTime();
    /** Given the node and its request; returns how many seconds the request is held back before it is executed. */
    private volatile Function<String, Double> delay = node -> 0.0;

    StateService(Map<String, Object> limits) {
        this.rps = Json.dbl(limits.get("rps"));
        this.writeRps = Json.dbl(limits.get("write_rps"));
        this.maxOps = (int) Json.num(limits.get("txn_ops"));
        this.valueKb = Json.dbl(limits.get("value_kb"));
        this.requestTokens = rps;
        this.writeTokens = writeRps;
        Http.daemon("leases", this::expireLeases);
    }

    /** Opens an address for one node. */
    String addressFor(String node) throws IOException {
        Http.Server server = new Http.Server(request -> handle(node, request));
        servers.put(node, server);
        return server.address();
    }

    /** During an outage every request gets 503; watches stay open. Afterwards all leases have their full time. */
    synchronized void setOutage(boolean on) {
        outage = on;
        if (!on) {
            leases.values().forEach(lease -> lease.expiresAt = System.nanoTime() + lease.ttlNanos);
        }
        notifyAll();
    }

    /** While refused, this node alone gets 503, and its watches wait. */
    synchronized void setRefused(String node, boolean on) {
        if (on) {
            refused.add(node);
        } else {
            refused.remove(node);
        }
        notifyAll();
    }

    /** From now on the lower limits hold, without notice. What is stored stays readable. */
    synchronized void lowerLimits(Map<String, Object> next) {
        writeRps = Json.dbl(next.get("write_rps"));
        maxOps = (int) Json.num(next.get("txn_ops"));
        valueKb = Json.dbl(next.get("value_kb"));
    }

    void setDelay(Function<String, Double> newDelay) {
        delay = newDelay;
    }

    /** The value of a key, or null. */
    synchronized Map<String, Object> read(String key) {
        Entry entry = store.get(key);
        return entry == null ? null : Json.map(entry.value);
    }

    /** The name of the node that the leader key names, or null. */
    String leader() {
        Map<String, Object> value = read("leader");
        if (value == null) {
            return null;
        }
        for (Object field : value.values()) {
            if (field instanceof String name && servers.containsKey(name)) {
                return name;
            }
        }
        return null;
    }

    synchronized List<String> keys(String prefix) {
        return store.tailMap(prefix).keySet().stream().takeWhile(key -> key.startsWith(prefix)).toList();
    }

    private Http.Response handle(String node, Http.Request request) throws Exception {
        Http.sleep(0.004 + delay.apply(node));
        String path = request.path();
        int question = path.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (question >= 0) {
            for (String pair : path.substring(question + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            path = path.substring(0, question);
        }
        synchronized (this) {
            if (isUnavailable(node)) {
                return Http.Response.of(503, Json.of("error", "outage"));
            }
            if (!takeTokens(request, path)) {
                return Http.Response.of(429, Json.of("error", "too many"));
            }
            if (path.equals("/follow")) {
                return follow(node, query);
            }
            if (path.equals("/store")) {
                return list(query);
            }
            if (path.startsWith("/store/")) {
                return get(path.substring(7));
            }
            if (path.equals("/txn")) {
                return transact(Json.object(request.body()));
            }
            if (path.equals("/grants")) {
                Lease lease = new Lease();
                lease.ttlNanos = Json.num(Json.object(request.body()).get("ttlMs")) * 1_000_000;
                lease.expiresAt = System.nanoTime() + lease.ttlNanos;
                leases.put(++lastPermit, lease);
                return Http.Response.of(200, Json.of("permit", lastPermit));
            }
            if (path.startsWith("/grants/")) {
                return lease(request.method(), path.split("/"));
            }
        }
        return Http.Response.of(400, Json.of("error", "malformed"));
    }

    private boolean isUnavailable(String node) {
        return outage || refused.contains(node);
    }

    private boolean takeTokens(Http.Request request, String path) {
        long now = System.nanoTime();
        double seconds = (now - tokensAt) / 1e9;
        tokensAt = now;
        requestTokens = Math.min(rps, requestTokens + seconds * rps);
        writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
        int writes = path.equals("/txn")
                ? Json.list(Json.object(request.body()).getOrDefault("then", List.of())).size()
                : 0;
        if (requestTokens < 1 || writeTokens < writes) {
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private Http.Response get(String key) {
        Entry entry = store.get(key);
        if (entry == null) {
            return Http.Response.of(404, Json.of("ring", ring));
        }
        Map<String, Object> body = Json.of("k", key, "v", entry.value, "stamp", entry.stamp);
        if (entry.permit != 0) {
            body.put("permit", entry.permit);
        }
        return Http.Response.of(200, body);
    }

    private Http.Response list(Map<String, String> query) {
        String prefix = query.get("starts");
        String from = query.getOrDefault("from", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> entries = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> stored : store.tailMap(prefix).entrySet()) {
            if (!stored.getKey().startsWith(prefix)) {
                break;
            }
            if (stored.getKey().compareTo(from) <= 0) {
                continue;
            }
            Map<String, Object> entry = Json.of(
                    "k", stored.getKey(), "v", stored.getValue().value, "stamp", stored.getValue().stamp);
            bytes += Json.write(entry).length();
            if (entries.size() >= limit || bytes > 512 << 10) {
                truncated = true;
                break;
            }
            entries.add(entry);
        }
        return Http.Response.of(200, Json.of("entries", entries, "truncated", truncated, "ring", ring));
    }

    private Http.Response transact(Map<String, Object> body) {
        List<Object> guards = Json.list(body.getOrDefault("guards", List.of()));
        List<Object> changes = Json.list(body.getOrDefault("then", List.of()));
        if (changes.size() > maxOps || guards.size() > 4 * maxOps || Json.write(body).length() > 64 << 10) {
            return Http.Response.of(400, Json.of("error", "too large"));
        }
        for (Object item : changes) {
            Map<String, Object> change = Json.map(item);
            if (change.containsKey("set") && Json.write(change.get("v")).length() > valueKb * 1024) {
                return Http.Response.of(400, Json.of("error", "value too large"));
            }
            if (change.get("permit") != null && !leases.containsKey(Json.num(change.get("permit")))) {
                return Http.Response.of(400, Json.of("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : guards) {
            Map<String, Object> guard = Json.map(item);
            Entry entry = store.get((String) guard.get("k"));
            if ((entry == null ? 0 : entry.stamp) != Json.num(guard.get("stamp"))) {
                failed.add(guard.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.Response.of(409, Json.of("failed", failed, "ring", ring));
        }
        if (!changes.isEmpty()) {
            ring++;
        }
        for (Object item : changes) {
            Map<String, Object> change = Json.map(item);
            if (change.containsKey("set")) {
                String key = (String) change.get("set");
                long permit = change.get("permit") == null ? 0 : Json.num(change.get("permit"));
                store.put(key, new Entry(change.get("v"), ring, permit));
                record(new Change(key, change.get("v"), ring, false));
            } else if (store.remove((String) change.get("drop")) != null) {
                record(new Change((String) change.get("drop"), null, ring, true));
            }
        }
        notifyAll();
        return Http.Response.of(200, Json.of("ring", ring));
    }

    private void record(Change change) {
        log.add(change);
        if (log.size() > MAX_LOG) {
            log.remove();
        }
    }

    private Http.Response lease(String method, String[] path) {
        long id = Long.parseLong(path[2]);
        Lease lease = leases.get(id);
        if (lease == null) {
            return Http.Response.of(404, Json.of("error", "no such lease"));
        }
        if (method.equals("DELETE")) {
            end(id);
        } else {
            lease.expiresAt = System.nanoTime() + lease.ttlNanos;
        }
        return Http.Response.of(200, Json.of("permit", id));
    }

    private void end(long permit) {
        leases.remove(permit);
        List<String> keys = store.entrySet().stream()
                .filter(entry -> entry.getValue().permit == permit)
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            ring++;
            keys.forEach(key -> {
                store.remove(key);
                record(new Change(key, null, ring, true));
            });
            notifyAll();
        }
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                if (!outage) {
                    long now = System.nanoTime();
                    List<Long> expired = leases.entrySet().stream()
                            .filter(lease -> lease.getValue().expiresAt < now)
                            .map(Map.Entry::getKey)
                            .toList();
                    expired.forEach(this::end);
                }
            }
            Http.sleep(0.03);
        }
    }

    private Http.Response follow(String node, Map<String, String> query) throws InterruptedException {
        String prefix = query.get("starts");
        long from = Long.parseLong(query.get("from"));
        long blockMs = Long.parseLong(query.getOrDefault("blockMs", "0"));
        long until = System.nanoTime() + blockMs * 1_000_000;
        if (log.size() >= MAX_LOG && from < log.peek().stamp - 1) {
            return Http.Response.of(410, Json.of("error", "too old"));
        }
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (Change change : log) {
                if (change.stamp > from && change.key.startsWith(prefix)) {
                    changes.add(change.drop
                            ? Json.of("drop", change.key, "stamp", change.stamp)
                            : Json.of("set", change.key, "v", change.value, "stamp", change.stamp));
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!isUnavailable(node) && (!changes.isEmpty() || leftMs <= 0)) {
                return Http.Response.of(200, Json.of("ring", ring, "log", changes));
            }
            wait(isUnavailable(node) ? 1000 : Math.max(1, leftMs));
        }
    }
}
