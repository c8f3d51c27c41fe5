package org.spruceridge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.Json;

/** The state service, written from its published protocol. */
public final class SimState implements SimNet.Server {
    private static final int MAX_TRANSACTION_BYTES = 64 << 10;

    private final SimLoop loop;
    private int maxOps;
    private double valueKb = SimulatedCluster.VALUE_KB;
    private int rejectedTransactions;
    private int transactions;
    private int largestValue;
    private int largestTransactionOps;
    private final int pageSize;
    private final TreeMap<String, Value> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<ObjectNode> log = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision = 1;
    private long lastLease;
    private long outageUntil;
    private final RateLimit requests;
    private RateLimit writes;
    private boolean refusesExcessWrites;

    private record Value(JsonNode json, long modRevision, long leaseId) {}

    private static final class Lease {
        private final long ttl;
        private long expiresAt;

        Lease(long ttl) {
            this.ttl = ttl;
        }
    }

    private static final class Watch {
        private final String prefix;
        private final long from;
        private final Consumer<HttpAnswer> answer;
        private boolean isAnswered;

        Watch(String prefix, long from, Consumer<HttpAnswer> answer) {
            this.prefix = prefix;
            this.from = from;
            this.answer = answer;
        }
    }

    /** Takes values of 4 KiB and so many changes a transaction; listings come in pages of {@code pageSize}. */
    public SimState(SimLoop loop, int maxOps, int pageSize) {
        this.loop = loop;
        this.maxOps = maxOps;
        this.pageSize = pageSize;
        this.requests = new RateLimit("requests", SimulatedCluster.STATE_RPS, 1, loop::nanos);
        this.writes = new RateLimit("writes", SimulatedCluster.STATE_WRITE_RPS, 1, loop::nanos);
        expireLeases();
    }

    /** Refuses all requests for a while; leases get their full time again after it. */
    public void outage(double seconds) {
        outageUntil = loop.nanos() + Durations.nanos(seconds);
        loop.after(Durations.nanos(seconds), () -> leases.values().forEach(g -> g.expiresAt = loop.nanos() + g.ttl));
    }

    /** Lowers the limits: larger values and transactions get 400, writes beyond the rate 429. */
    public void lowerLimits(double nextValueKb, int nextTxnOps, double writeRps) {
        valueKb = nextValueKb;
        maxOps = nextTxnOps;
        writes = new RateLimit("writes", writeRps, 1, loop::nanos);
        refuseWritesBeyondRate();
    }

    /** Answers 429 to writes beyond the rate, as the service does, where a scenario would otherwise fail. */
    public void refuseWritesBeyondRate() {
        refusesExcessWrites = true;
    }

    /** Transactions that were refused because they, or a value in them, were too large. */
    public int rejectedTransactions() {
        return rejectedTransactions;
    }

    /** The largest value that was written since this was last asked for, in bytes. */
    public int largestValueBytes() {
        int was = largestValue;
        largestValue = 0;
        return was;
    }

    /** The most changes of one transaction since this was last asked for. */
    public int largestTransactionOps() {
        int was = largestTransactionOps;
        largestTransactionOps = 0;
        return was;
    }

    /** Writes a value as another version might have left it; returns its revision. */
    public long put(String key, JsonNode value) {
        keys.put(key, new Value(value, ++revision, 0));
        return revision;
    }

    /** Transactions requested so far. */
    public int transactions() {
        return transactions;
    }

    /** The value of a key, or null. */
    public JsonNode value(String key) {
        return keys.containsKey(key) ? keys.get(key).json : null;
    }

    /** The keys under a prefix. */
    public Set<String> keys(String prefix) {
        return Set.copyOf(keys.subMap(prefix, prefix + '\uffff').keySet());
    }

    /** True if the request is a transaction that names a key with this text in it. */
    public static boolean isTransactionOn(HttpCall call, String keyPart) {
        return call.target().equals("/txn") && new String(call.body(), StandardCharsets.UTF_8).contains(keyPart);
    }

    private boolean isOut() {
        return loop.nanos() < outageUntil;
    }

    private void expireLeases() {
        if (!isOut()) {
            for (long id : List.copyOf(leases.keySet())) {
                if (leases.get(id).expiresAt < loop.nanos()) {
                    endLease(id);
                }
            }
        }
        loop.after(Durations.millis(20), this::expireLeases);
    }

    private void endLease(long leaseId) {
        leases.remove(leaseId);
        for (String key : List.copyOf(keys.keySet())) {
            if (keys.get(key).leaseId == leaseId) {
                revision++;
                delete(key);
            }
        }
        notifyWatches();
    }

    @Override
    public void accept(HttpCall call, Consumer<HttpAnswer> answer) {
        requests.take(1);
        if (isOut()) {
            answer.accept(new HttpAnswer(503, new byte[0]));
            return;
        }
        String path = call.target().split("\\?")[0];
        try {
            if (path.equals("/follow")) {
                openWatch(call.target(), answer);
            } else if (path.equals("/txn")) {
                answer.accept(applyTransaction(transaction(call.body())));
            } else if (path.equals("/grants")) {
                answer.accept(createLease(Json.object(call.body())));
            } else if (path.startsWith("/grants/")) {
                answer.accept(renewOrRevokeLease(call, Long.parseLong(path.split("/")[2])));
            } else if (path.equals("/store")) {
                answer.accept(list(call.target()));
            } else {
                answer.accept(get(path.substring("/store/".length())));
            }
        } catch (BadMessageException e) {
            answer.accept(new HttpAnswer(400, e.getMessage().getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static JsonNode transaction(byte[] body) throws BadMessageException {
        if (body.length > MAX_TRANSACTION_BYTES) {
            throw new BadMessageException("too large");
        }
        return Json.object(body);
    }

    private HttpAnswer createLease(JsonNode body) throws BadMessageException {
        Lease lease = new Lease(Durations.millis(Json.number(body, "ttlMs")));
        lease.expiresAt = loop.nanos() + lease.ttl;
        leases.put(++lastLease, lease);
        return ok(Json.object().put("permit", lastLease));
    }

    private HttpAnswer renewOrRevokeLease(HttpCall call, long id) {
        if (call.method().equals("DELETE")) {
            endLease(id);
            return ok(Json.object());
        }
        Lease lease = leases.get(id);
        if (lease == null) {
            return new HttpAnswer(404, "{}".getBytes(StandardCharsets.UTF_8));
        }
        lease.expiresAt = loop.nanos() + lease.ttl;
        return ok(Json.object());
    }

    private HttpAnswer get(String key) {
        Value value = keys.get(key);
        return value == null
                ? new HttpAnswer(404, Json.bytes(Json.object().put("ring", revision)))
                : ok(entry(key, value));
    }

    private HttpAnswer list(String target) {
        String prefix = query(target, "starts", "");
        String from = query(target, "from", "");
        int limit = Math.min(pageSize, Integer.parseInt(query(target, "limit", "1000")));
        ObjectNode out = Json.object().put("ring", revision);
        ArrayNode entries = out.putArray("entries");
        boolean more = false;
        for (var e : keys.subMap(prefix, prefix + '\uffff').entrySet()) {
            if (e.getKey().compareTo(from) <= 0) {
                continue;
            }
            if (entries.size() == limit) {
                more = true;
                break;
            }
            entries.add(entry(e.getKey(), e.getValue()));
        }
        return ok(out.put("truncated", more));
    }

    private HttpAnswer applyTransaction(JsonNode body) throws BadMessageException {
        JsonNode ops = body.path("then");
        if (refusesExcessWrites && !writes.allows(ops.size())) {
            return new HttpAnswer(429, new byte[0]);
        }
        writes.take(ops.size());
        largestTransactionOps = Math.max(largestTransactionOps, ops.size());
        transactions++;
        checkSizes(ops, body.path("guards").size());
        for (JsonNode op : ops) {
            if (op.has("permit") && !leases.containsKey(op.get("permit").asLong())) {
                return new HttpAnswer(400, Json.bytes(Json.object().put("error", "no such lease")));
            }
        }
        ArrayNode failed = failedComparisons(Json.list(body, "guards"));
        if (!failed.isEmpty()) {
            ObjectNode out = Json.object().put("ring", revision);
            out.set("failed", failed);
            return new HttpAnswer(409, Json.bytes(out));
        }
        revision++;
        ops.forEach(this::apply);
        notifyWatches();
        return ok(Json.object().put("ring", revision));
    }

    private void checkSizes(JsonNode ops, int guards) throws BadMessageException {
        if (ops.size() > maxOps || guards > 4 * maxOps) {
            rejectedTransactions++;
            throw new BadMessageException("too many");
        }
        for (JsonNode op : ops) {
            int bytes = Json.bytes(Json.object().set("v", op.path("v"))).length;
            largestValue = Math.max(largestValue, bytes);
            if (bytes > valueKb * 1024) {
                rejectedTransactions++;
                throw new BadMessageException("too large");
            }
        }
    }

    /** The keys that do not have the revision which their guard names; a missing key has revision 0. */
    private ArrayNode failedComparisons(Iterable<JsonNode> guards) throws BadMessageException {
        ArrayNode failed = Json.array();
        for (JsonNode guard : guards) {
            String key = Json.text(guard, "k");
            Value value = keys.get(key);
            if ((value == null ? 0 : value.modRevision) != Json.nonNegativeLong(guard, "stamp")) {
                failed.add(key);
            }
        }
        return failed;
    }

    private void apply(JsonNode op) {
        if (!op.has("set")) {
            delete(op.get("drop").asText());
            return;
        }
        String key = op.get("set").asText();
        keys.put(key, new Value(op.get("v"), revision, op.path("permit").asLong()));
        ObjectNode change = Json.object().put("set", key).put("stamp", revision);
        change.set("v", op.get("v"));
        log.add(change);
    }

    private void delete(String key) {
        if (keys.remove(key) != null) {
            log.add(Json.object().put("drop", key).put("stamp", revision));
        }
    }

    private void openWatch(String target, Consumer<HttpAnswer> answer) {
        Watch watch = new Watch(query(target, "starts", ""), Long.parseLong(query(target, "from", "0")), answer);
        watches.add(watch);
        loop.after(Durations.millis(Long.parseLong(query(target, "blockMs", "0"))), () -> timeOut(watch));
        notifyWatches();
    }

    /** Open watches stay open in an outage. */
    private void timeOut(Watch watch) {
        if (isOut()) {
            loop.after(outageUntil - loop.nanos(), () -> timeOut(watch));
        } else {
            answer(watch, true);
        }
    }

    private void notifyWatches() {
        List.copyOf(watches).forEach(w -> answer(w, false));
    }

    private void answer(Watch watch, boolean evenIfEmpty) {
        ArrayNode changes = Json.array();
        for (ObjectNode change : log) {
            String key = change.path(change.has("set") ? "set" : "drop").asText();
            if (change.get("stamp").asLong() > watch.from && key.startsWith(watch.prefix)) {
                changes.add(change);
            }
        }
        if (!watch.isAnswered && (evenIfEmpty || !changes.isEmpty())) {
            watch.isAnswered = true;
            watches.remove(watch);
            ObjectNode out = Json.object().put("ring", revision);
            out.set("log", changes);
            watch.answer.accept(ok(out));
        }
    }

    private static ObjectNode entry(String key, Value value) {
        ObjectNode out = Json.object().put("k", key).put("stamp", value.modRevision);
        out.set("v", value.json);
        return out;
    }

    private static HttpAnswer ok(JsonNode body) {
        return new HttpAnswer(200, Json.bytes(body));
    }

    static String query(String target, String name, String fallback) {
        int q = target.indexOf('?');
        if (q >= 0) {
            for (String pair : target.substring(q + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
        }
        return fallback;
    }
}
