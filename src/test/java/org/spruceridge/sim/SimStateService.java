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

/** A simulated state service, implemented from its published protocol. */
public final class SimStateService implements SimNet.Server {
    private static final int MAX_TRANSACTION_BYTES = 64 << 10;

    private final SimLoop loop;
    private int maxOps;
    private double maxValueKb = SimulatedCluster.VALUE_KB;
    private int rejectedTransactionCount;
    private int transactionCount;
    private int maxValueBytes;
    private int maxTransactionOps;
    private final int pageSize;
    private final TreeMap<String, VersionedValue> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<ObjectNode> changeLog = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision = 1;
    private long lastLeaseId;
    private long outageUntil;
    private final RateLimit requestLimit;
    private RateLimit writeLimit;
    private boolean refusesExcessWrites;

    private record VersionedValue(JsonNode json, long modRevision, long leaseId) {}

    private static final class Lease {
        private final long ttl;
        private long expiresAt;

        Lease(long ttl) {
            this.ttl = ttl;
        }
    }

    private static final class Watch {
        private final String prefix;
        private final long fromRevision;
        private final Consumer<HttpAnswer> onResponse;
        private boolean isAnswered;

        Watch(String prefix, long fromRevision, Consumer<HttpAnswer> onResponse) {
            this.prefix = prefix;
            this.fromRevision = fromRevision;
            this.onResponse = onResponse;
        }
    }

    /**
     * Accepts values of up to 4 KiB and up to {@code maxOps} changes in a transaction; a page of a listing has up to
     * {@code pageSize} keys.
     */
    public SimStateService(SimLoop loop, int maxOps, int pageSize) {
        this.loop = loop;
        this.maxOps = maxOps;
        this.pageSize = pageSize;
        this.requestLimit = new RateLimit("requests", SimulatedCluster.STATE_RPS, 1, loop::nanos);
        this.writeLimit = new RateLimit("writes", SimulatedCluster.STATE_WRITE_RPS, 1, loop::nanos);
        expireLeases();
    }

    /** Refuses all requests with 503 for {@code seconds}; after that every lease gets its full TTL again. */
    public void startOutage(double seconds) {
        outageUntil = loop.nanos() + Durations.nanos(seconds);
        loop.after(Durations.nanos(seconds), () -> leases.values().forEach(g -> g.expiresAt = loop.nanos() + g.ttl));
    }

    /** Lowers the limits: larger values and transactions are answered with 400, writes beyond the rate with 429. */
    public void lowerLimits(double newMaxValueKb, int newMaxOps, double newWriteRps) {
        maxValueKb = newMaxValueKb;
        maxOps = newMaxOps;
        writeLimit = new RateLimit("writes", newWriteRps, 1, loop::nanos);
        refuseWritesBeyondRate();
    }

    /** Answers 429 to writes beyond the rate, as the real service does, instead of failing the scenario. */
    public void refuseWritesBeyondRate() {
        refusesExcessWrites = true;
    }

    /** The number of transactions rejected because they, or a value in them, were too large. */
    public int rejectedTransactionCount() {
        return rejectedTransactionCount;
    }

    /** The size in bytes of the largest value in transactions since the last call of this method; resets it. */
    public int takeLargestValueBytes() {
        int largest = maxValueBytes;
        maxValueBytes = 0;
        return largest;
    }

    /** The largest number of changes in one transaction since the last call of this method; resets it. */
    public int takeLargestTransactionOps() {
        int largest = maxTransactionOps;
        maxTransactionOps = 0;
        return largest;
    }

    /** Stores a value directly, for example as another version might have written it; returns its revision. */
    public long put(String key, JsonNode value) {
        keys.put(key, new VersionedValue(value, ++revision, 0));
        return revision;
    }

    /** The number of transactions requested so far. */
    public int transactionCount() {
        return transactionCount;
    }

    /** The value of a key, or null. */
    public JsonNode value(String key) {
        return keys.containsKey(key) ? keys.get(key).json : null;
    }

    /** The keys with this prefix. */
    public Set<String> keys(String prefix) {
        return Set.copyOf(keys.subMap(prefix, prefix + '\uffff').keySet());
    }

    /** True if the request is a transaction that names a key containing {@code keyPart}. */
    public static boolean isTransactionOn(HttpCall call, String keyPart) {
        return call.target().equals("/txn") && new String(call.body(), StandardCharsets.UTF_8).contains(keyPart);
    }

    private boolean isInOutage() {
        return loop.nanos() < outageUntil;
    }

    private void expireLeases() {
        if (!isInOutage()) {
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
    public void accept(HttpCall call, Consumer<HttpAnswer> onResponse) {
        requestLimit.take(1);
        if (isInOutage()) {
            onResponse.accept(new HttpAnswer(503, new byte[0]));
            return;
        }
        String path = call.target().split("\\?")[0];
        try {
            if (path.equals("/follow")) {
                openWatch(call.target(), onResponse);
            } else if (path.equals("/txn")) {
                onResponse.accept(applyTransaction(parseTransaction(call.body())));
            } else if (path.equals("/grants")) {
                onResponse.accept(createLease(Json.object(call.body())));
            } else if (path.startsWith("/grants/")) {
                onResponse.accept(renewOrRevokeLease(call, Long.parseLong(path.split("/")[2])));
            } else if (path.equals("/store")) {
                onResponse.accept(listKeys(call.target()));
            } else {
                onResponse.accept(get(path.substring("/store/".length())));
            }
        } catch (BadMessageException e) {
            onResponse.accept(new HttpAnswer(400, e.getMessage().getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static JsonNode parseTransaction(byte[] body) throws BadMessageException {
        if (body.length > MAX_TRANSACTION_BYTES) {
            throw new BadMessageException("too large");
        }
        return Json.object(body);
    }

    private HttpAnswer createLease(JsonNode body) throws BadMessageException {
        Lease lease = new Lease(Durations.millis(Json.number(body, "ttlMs")));
        lease.expiresAt = loop.nanos() + lease.ttl;
        leases.put(++lastLeaseId, lease);
        return ok(Json.object().put("permit", lastLeaseId));
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
        VersionedValue value = keys.get(key);
        return value == null
                ? new HttpAnswer(404, Json.bytes(Json.object().put("ring", revision)))
                : ok(entry(key, value));
    }

    private HttpAnswer listKeys(String target) {
        String prefix = queryParameter(target, "starts", "");
        String afterKey = queryParameter(target, "from", "");
        int limit = Math.min(pageSize, Integer.parseInt(queryParameter(target, "limit", "1000")));
        ObjectNode out = Json.object().put("ring", revision);
        ArrayNode entries = out.putArray("entries");
        boolean more = false;
        for (var keyAndValue : keys.subMap(prefix, prefix + '\uffff').entrySet()) {
            if (keyAndValue.getKey().compareTo(afterKey) <= 0) {
                continue;
            }
            if (entries.size() == limit) {
                more = true;
                break;
            }
            entries.add(entry(keyAndValue.getKey(), keyAndValue.getValue()));
        }
        return ok(out.put("truncated", more));
    }

    private HttpAnswer applyTransaction(JsonNode body) throws BadMessageException {
        JsonNode ops = body.path("then");
        if (refusesExcessWrites && !writeLimit.allows(ops.size())) {
            return new HttpAnswer(429, new byte[0]);
        }
        writeLimit.take(ops.size());
        maxTransactionOps = Math.max(maxTransactionOps, ops.size());
        transactionCount++;
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
        ops.forEach(this::applyOperation);
        notifyWatches();
        return ok(Json.object().put("ring", revision));
    }

    private void checkSizes(JsonNode ops, int guards) throws BadMessageException {
        if (ops.size() > maxOps || guards > 4 * maxOps) {
            rejectedTransactionCount++;
            throw new BadMessageException("too many");
        }
        for (JsonNode op : ops) {
            int bytes = Json.bytes(Json.object().set("v", op.path("v"))).length;
            maxValueBytes = Math.max(maxValueBytes, bytes);
            if (bytes > maxValueKb * 1024) {
                rejectedTransactionCount++;
                throw new BadMessageException("too large");
            }
        }
    }

    /** The keys whose revision differs from the one in their guard; a missing key has revision 0. */
    private ArrayNode failedComparisons(Iterable<JsonNode> guards) throws BadMessageException {
        ArrayNode failed = Json.array();
        for (JsonNode guard : guards) {
            String key = Json.text(guard, "k");
            VersionedValue value = keys.get(key);
            if ((value == null ? 0 : value.modRevision) != Json.nonNegativeLong(guard, "stamp")) {
                failed.add(key);
            }
        }
        return failed;
    }

    private void applyOperation(JsonNode op) {
        if (!op.has("set")) {
            delete(op.get("drop").asText());
            return;
        }
        String key = op.get("set").asText();
        keys.put(
                key, new VersionedValue(op.get("v"), revision, op.path("permit").asLong()));
        ObjectNode change = Json.object().put("set", key).put("stamp", revision);
        change.set("v", op.get("v"));
        changeLog.add(change);
    }

    private void delete(String key) {
        if (keys.remove(key) != null) {
            changeLog.add(Json.object().put("drop", key).put("stamp", revision));
        }
    }

    private void openWatch(String target, Consumer<HttpAnswer> onResponse) {
        Watch watch = new Watch(
                queryParameter(target, "starts", ""), Long.parseLong(queryParameter(target, "from", "0")), onResponse);
        watches.add(watch);
        loop.after(Durations.millis(Double.parseDouble(queryParameter(target, "blockMs", "0"))), () -> timeOut(watch));
        notifyWatches();
    }

    /** Answers a watch whose maximum wait is over; in an outage it stays open until the outage ends. */
    private void timeOut(Watch watch) {
        if (isInOutage()) {
            loop.after(outageUntil - loop.nanos(), () -> timeOut(watch));
        } else {
            answerWatch(watch, true);
        }
    }

    private void notifyWatches() {
        List.copyOf(watches).forEach(w -> answerWatch(w, false));
    }

    private void answerWatch(Watch watch, boolean evenIfEmpty) {
        ArrayNode changes = Json.array();
        for (ObjectNode change : changeLog) {
            String key = change.path(change.has("set") ? "set" : "drop").asText();
            if (change.get("stamp").asLong() > watch.fromRevision && key.startsWith(watch.prefix)) {
                changes.add(change);
            }
        }
        if (!watch.isAnswered && (evenIfEmpty || !changes.isEmpty())) {
            watch.isAnswered = true;
            watches.remove(watch);
            ObjectNode out = Json.object().put("ring", revision);
            out.set("log", changes);
            watch.onResponse.accept(ok(out));
        }
    }

    private static ObjectNode entry(String key, VersionedValue value) {
        ObjectNode out = Json.object().put("k", key).put("stamp", value.modRevision);
        out.set("v", value.json);
        return out;
    }

    private static HttpAnswer ok(JsonNode body) {
        return new HttpAnswer(200, Json.bytes(body));
    }

    static String queryParameter(String target, String name, String fallback) {
        int queryStart = target.indexOf('?');
        if (queryStart >= 0) {
            for (String pair : target.substring(queryStart + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
        }
        return fallback;
    }
}
