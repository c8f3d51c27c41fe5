package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol page, in memory. */
final class StateService {
    private record Entry(Object value, long stamp, long permit) {}

    private record Change(String key, Object value, long stamp) {}

    private static final class Grant {
        long ttlNanos;
        long endsAt;
    }

    private final int valueBytes;
    private final int txnOps;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, Grant> grants = new LinkedHashMap<>();
    private long ring = 1;
    private long lastPermit;
    private final Http.Server server;
    /** While true, every request gets 503, and leases and open watches wait. */
    private boolean outage;

    StateService(int valueKb, int txnOps) throws IOException {
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        server = new Http.Server("state", this::handle);
        Http.daemon("state-grants", this::expireGrants);
    }

    int port() {
        return server.port();
    }

    synchronized void setOutage(boolean on) {
        outage = on;
        if (!on) {
            grants.values().forEach(grant -> grant.endsAt = System.nanoTime() + grant.ttlNanos);
        }
        notifyAll();
    }

    private void expireGrants() {
        while (true) {
            Http.sleep(20);
            synchronized (this) {
                if (outage) {
                    continue;
                }
                long now = System.nanoTime();
                List<Long> ended = new ArrayList<>();
                grants.forEach((id, grant) -> {
                    if (now - grant.endsAt > 0) {
                        ended.add(id);
                    }
                });
                ended.forEach(this::endGrant);
            }
        }
    }

    private void endGrant(long id) {
        grants.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.permit == id) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            ring++;
            for (String key : keys) {
                entries.remove(key);
                log.add(new Change(key, null, ring));
            }
            notifyAll();
        }
    }

    private Http.Message handle(Http.Message request) throws Exception {
        String path = request.path();
        synchronized (this) {
            if (outage && !path.equals("/follow")) {
                return Http.response(503, "{\"error\":\"trouble\"}");
            }
            if (path.equals("/store")) {
                return list(request);
            }
            if (path.startsWith("/store/")) {
                Entry entry = entries.get(path.substring(7));
                if (entry == null) {
                    return Http.response(404, Json.of("ring", ring));
                }
                Map<String, Object> out = Json.of("k", path.substring(7), "v", entry.value, "stamp", entry.stamp);
                if (entry.permit > 0) {
                    out.put("permit", entry.permit);
                }
                return Http.response(200, out);
            }
            if (path.equals("/txn")) {
                return commit(request);
            }
            if (path.equals("/grants")) {
                Grant grant = new Grant();
                grant.ttlNanos = Json.num(request.json(), "ttlMs", 0) * 1_000_000;
                grant.endsAt = System.nanoTime() + grant.ttlNanos;
                grants.put(++lastPermit, grant);
                return Http.response(200, Json.of("permit", lastPermit));
            }
            if (path.startsWith("/grants/")) {
                return grant(request, path.substring(8));
            }
            if (path.equals("/follow")) {
                return follow(request);
            }
            return Http.response(400, "{\"error\":\"no such request\"}");
        }
    }

    private Http.Message list(Http.Message request) {
        String prefix = request.query("starts", "");
        String from = request.query("from", "");
        int limit = Math.min(1000, Integer.parseInt(request.query("limit", "1000")));
        List<Object> found = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> item : entries.tailMap(from.isEmpty() ? prefix : from, from.isEmpty()).entrySet()) {
            if (!item.getKey().startsWith(prefix)) {
                if (item.getKey().compareTo(prefix) > 0) {
                    break;
                }
                continue;
            }
            Map<String, Object> entry =
                    Json.of("k", item.getKey(), "v", item.getValue().value, "stamp", item.getValue().stamp);
            bytes += Json.write(entry).length() + 1;
            if (found.size() >= limit || bytes > 500 << 10) {
                truncated = true;
                break;
            }
            found.add(entry);
        }
        return Http.response(200, Json.of("entries", found, "truncated", truncated, "ring", ring));
    }

    private Http.Message commit(Http.Message request) {
        Map<String, Object> body = request.json();
        List<Map<String, Object>> changes = Json.objects(body.get("then"));
        List<Map<String, Object>> guards = Json.objects(body.get("guards"));
        if (request.body.length > 64 << 10 || changes.size() > txnOps || guards.size() > 4 * txnOps) {
            return Http.response(400, "{\"error\":\"transaction too large\"}");
        }
        for (Map<String, Object> change : changes) {
            long permit = Json.num(change, "permit", 0);
            if (permit > 0 && !grants.containsKey(permit)) {
                return Http.response(400, "{\"error\":\"no such lease\"}");
            }
            if (change.containsKey("set") && Json.write(change.get("v")).length() > valueBytes) {
                return Http.response(400, "{\"error\":\"value too large\"}");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = entries.get((String) guard.get("k"));
            if (Json.num(guard, "stamp", -1) != (entry == null ? 0 : entry.stamp)) {
                failed.add(guard.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.response(409, Json.of("failed", failed, "ring", ring));
        }
        if (!changes.isEmpty()) {
            ring++;
            for (Map<String, Object> change : changes) {
                if (change.containsKey("set")) {
                    String key = (String) change.get("set");
                    entries.put(key, new Entry(change.get("v"), ring, Json.num(change, "permit", 0)));
                    log.add(new Change(key, change.get("v"), ring));
                } else if (entries.remove((String) change.get("drop")) != null) {
                    log.add(new Change((String) change.get("drop"), null, ring));
                }
            }
            notifyAll();
        }
        return Http.response(200, Json.of("ring", ring));
    }

    private Http.Message grant(Http.Message request, String rest) {
        long id = Long.parseLong(rest.split("/")[0]);
        Grant grant = grants.get(id);
        if (grant == null) {
            return Http.response(404, "{\"error\":\"no such lease\"}");
        }
        if (request.method().equals("DELETE")) {
            endGrant(id);
        } else {
            grant.endsAt = System.nanoTime() + grant.ttlNanos;
        }
        return Http.response(200, "{}");
    }

    private Http.Message follow(Http.Message request) throws InterruptedException {
        String prefix = request.query("starts", "");
        long from = Long.parseLong(request.query("from", "0"));
        long until = System.nanoTime() + Long.parseLong(request.query("blockMs", "0")) * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (int i = log.size() - 1; i >= 0 && log.get(i).stamp > from; i--) {
                Change change = log.get(i);
                if (change.key.startsWith(prefix)) {
                    found.add(0, change.value == null
                            ? Json.of("drop", change.key, "stamp", change.stamp)
                            : Json.of("set", change.key, "v", change.value, "stamp", change.stamp));
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!outage && (!found.isEmpty() || leftMs <= 0)) {
                return Http.response(200, Json.of("ring", ring, "log", found));
            }
            wait(outage ? 50 : Math.max(1, leftMs));
        }
    }
}
