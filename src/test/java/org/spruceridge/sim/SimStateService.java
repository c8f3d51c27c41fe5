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
    private int largestValueBytes;
    private int largestTransactionOps;
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
        private final long ttlNanos;
        private long expiresAtNanos;

        Lease(long ttl) {
            this.ttlNanos = ttl;
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
     * The service accepts values of up to 4 KiB and transactions of up to {@code maxOps} operations. A page of a
     * listing has up to {@code pageSize} keys.
     */
    public SimStateService(SimLoop loop, int maxOps, int pageSize) {
        this.loop = loop;
        this.maxOps = maxOps;
        this.pageSize = pageSize;
        this.requestLimit = new RateLimit("requests", SimulatedCluster.STATE_RPS, 1, loop::nanos);
        this.writeLimit = new RateLimit("writes", SimulatedCluster.STATE_WRITE_RPS, 1, loop::nanos);
        expireLeases();
    }

    /** Answers 503 to all requests for {@code seconds}. When the outage ends, every lease gets its full TTL again. */
    public void startOutage(double seconds) {
        outageUntil = loop.nanos() + Durations.nanos(seconds);
        loop.after(Durations.nanos(seconds), () -> leases.values()
                .forEach(g -> g.expiresAtNanos = loop.nanos() + g.ttlNanos));
    }

    /**
     * Lowers the limits. From now on, the service answers 400 to larger values and transactions, and 429 to writes
     * beyond the rate.
     */
    public void lowerLimits(double newMaxValueKb, int newMaxOps, double newWriteRps) {
        maxValueKb = newMaxValueKb;
        maxOps = newMaxOps;
        writeLimit = new RateLimit("writes", newWriteRps, 1, loop::nanos);
        refuseWritesBeyondRate();
    }

    /**
     * Makes the service answer 429 to writes beyond the rate, as the real service does. By default, such writes fail
     * the scenario.
     */
    public void refuseWritesBeyondRate() {
        refusesExcessWrites = true;
    }

    /** The number of transactions rejected for too many operations or guards, or for a value that was too large. */
    public int rejectedTransactionCount() {
        return rejectedTransactionCount;
    }

    /** The size in bytes of the largest value in transactions since the last call of this method; resets it. */
    public int takeLargestValueBytes() {
        int largest = largestValueBytes;
        largestValueBytes = 0;
        return largest;
    }

    /** The largest number of operations in a transaction since the last call of this method; resets it. */
    public int takeLargestTransactionOps() {
        int largest = largestTransactionOps;
        largestTransactionOps = 0;
        return largest;
    }

    /**
     * Stores a value without a transaction and without notice to watches, for example a value in the form that another
     * version writes. Returns the revision of the value.
     */
    public long put(String key, JsonNode value) {
        keys.put(key, new VersionedValue(value, ++revision, 0));
        return revision;
    }

    /**
     * The number of transactions so far. A transaction is not counted if it is refused because of an outage, because
     * the write rate is too high, or because its body is too large.
     */
    public int transactionCount() {
        return transactionCount;
    }

    /** The value of a key, or null if the key does not exist. */
    public JsonNode value(String key) {
        return keys.containsKey(key) ? keys.get(key).json : null;
    }

    /** The keys that start with this prefix, in no particular order. */
    public Set<String> keys(String prefix) {
        return Set.copyOf(keys.subMap(prefix, prefix + '\uffff').keySet());
    }

    /** True if the request is a transaction whose body contains {@code keyPart}, a part of a key. */
    public static boolean isTransactionOn(HttpCall call, String keyPart) {
        return call.target().equals("/txn") && new String(call.body(), StandardCharsets.UTF_8).contains(keyPart);
    }

    private boolean isInOutage() {
        return loop.nanos() < outageUntil;
    }

    private void expireLeases() {
        if (!isInOutage()) {
            for (long id : List.copyOf(leases.keySet())) {
                if (leases.get(id).expiresAtNanos < loop.nanos()) {
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
                onResponse.accept(readKey(path.substring("/store/".length())));
            }
        } catch (BadMessageException e) {
            onResponse.accept(new HttpAnswer(400, e.getMessage().getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static JsonNode parseTransaction(byte[] body) throws BadMessageException {
        if (body.length > MAX_TRANSACTION_BYTES) {
            throw new BadMessageException("the transaction body exceeds " + MAX_TRANSACTION_BYTES + " bytes");
        }
        return Json.object(body);
    }

    private HttpAnswer createLease(JsonNode body) throws BadMessageException {
        Lease lease = new Lease(Durations.millis(Json.number(body, "ttlMs")));
        lease.expiresAtNanos = loop.nanos() + lease.ttlNanos;
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
        lease.expiresAtNanos = loop.nanos() + lease.ttlNanos;
        return ok(Json.object());
    }

    private HttpAnswer readKey(String key) {
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
        boolean isTruncated = false;
        for (var keyAndValue : keys.subMap(prefix, prefix + '\uffff').entrySet()) {
            if (keyAndValue.getKey().compareTo(afterKey) <= 0) {
                continue;
            }
            if (entries.size() == limit) {
                isTruncated = true;
                break;
            }
            entries.add(entry(keyAndValue.getKey(), keyAndValue.getValue()));
        }
        return ok(out.put("truncated", isTruncated));
    }

    private HttpAnswer applyTransaction(JsonNode body) throws BadMessageException {
        JsonNode ops = body.path("then");
        if (refusesExcessWrites && !writeLimit.allows(ops.size())) {
            return new HttpAnswer(429, new byte[0]);
        }
        writeLimit.take(ops.size());
        largestTransactionOps = Math.max(largestTransactionOps, ops.size());
        transactionCount++;
        checkTransactionLimits(ops, body.path("guards").size());
        for (JsonNode op : ops) {
            if (op.has("permit") && !leases.containsKey(op.get("permit").asLong())) {
                return new HttpAnswer(400, Json.bytes(Json.object().put("error", "no such lease")));
            }
        }
        ArrayNode failed = failedGuardKeys(Json.list(body, "guards"));
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

    private void checkTransactionLimits(JsonNode ops, int guardCount) throws BadMessageException {
        if (ops.size() > maxOps || guardCount > 4 * maxOps) {
            rejectedTransactionCount++;
            throw new BadMessageException(
                    "the transaction exceeds " + maxOps + " operations or " + 4 * maxOps + " guards");
        }
        for (JsonNode op : ops) {
            int bytes = Json.bytes(Json.object().set("v", op.path("v"))).length;
            largestValueBytes = Math.max(largestValueBytes, bytes);
            if (bytes > maxValueKb * 1024) {
                rejectedTransactionCount++;
                throw new BadMessageException("the value of an operation exceeds " + maxValueKb + " KiB");
            }
        }
    }

    /** The keys whose revision differs from the revision in their guard; a missing key has revision 0. */
    private ArrayNode failedGuardKeys(Iterable<JsonNode> guards) throws BadMessageException {
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

    /** Answers a watch whose maximum wait is over. In an outage, the watch stays open until the outage ends. */
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
