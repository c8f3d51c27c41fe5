package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.spruceridge.net.Json;

/** Guards and changes that hold or fail together. */
public final class Transaction {
    private final ImmutableMap<String, Long> comparisons;
    private final ImmutableList<Operation> operations;
    private final byte[] body;

    private record Operation(String key, JsonNode value, long leaseId) {}

    private Transaction(ImmutableMap<String, Long> comparisons, ImmutableList<Operation> operations) {
        this.comparisons = comparisons;
        this.operations = operations;
        this.body = Json.bytes(toJson());
    }

    /** A transaction without comparisons and changes yet. */
    public static Builder builder() {
        return new Builder();
    }

    byte[] body() {
        return body;
    }

    /** How many changes it makes. */
    public int changeCount() {
        return operations.size();
    }

    /** How many comparisons it has, those of changed keys included. */
    public int comparisonCount() {
        return comparisons.size();
    }

    /** Of its body, in bytes. */
    public int bodyBytes() {
        return body.length;
    }

    private ObjectNode toJson() {
        ObjectNode out = Json.object();
        ArrayNode guards = out.putArray("guards");
        comparisons.forEach(
                (key, modRevision) -> guards.addObject().put("k", key).put("stamp", modRevision));
        ArrayNode then = out.putArray("then");
        for (Operation operation : operations) {
            if (operation.value == null) {
                then.addObject().put("drop", operation.key);
            } else {
                ObjectNode set = then.addObject().put("set", operation.key);
                set.set("v", operation.value);
                if (operation.leaseId != 0) {
                    set.put("permit", operation.leaseId);
                }
            }
        }
        return out;
    }

    /** Collects comparisons and changes; every key that is changed must be guarded by its last stamp, 0 if it is new. */
    public static final class Builder {
        private final Map<String, Long> comparisons = new LinkedHashMap<>();
        private final ImmutableList.Builder<Operation> operations = ImmutableList.builder();

        /** Requires that the key still has this stamp; 0 that it does not exist. */
        public Builder compare(String key, long expectedRevision) {
            comparisons.put(key, expectedRevision);
            return this;
        }

        /** Sets a key. */
        public Builder put(String key, long expectedRevision, JsonNode value) {
            return putWithLease(key, expectedRevision, value, 0);
        }

        /** Sets a key that vanishes with the grant. */
        public Builder putWithLease(String key, long expectedRevision, JsonNode value, long leaseId) {
            compare(key, expectedRevision);
            operations.add(new Operation(key, value, leaseId));
            return this;
        }

        /** Removes a key. */
        public Builder delete(String key, long expectedRevision) {
            compare(key, expectedRevision);
            operations.add(new Operation(key, null, 0));
            return this;
        }

        /** The transaction. */
        public Transaction build() {
            return new Transaction(ImmutableMap.copyOf(comparisons), operations.build());
        }
    }
}
