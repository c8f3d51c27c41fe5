package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.spruceridge.net.Json;

/**
 * A compare-and-swap transaction. If all comparisons hold, the service applies all changes atomically; otherwise the
 * service applies none. The JSON body is built once, therefore a retry sends the same bytes.
 */
public final class Transaction {
    private final ImmutableMap<String, Long> comparisons;
    private final ImmutableList<Operation> operations;
    private final byte[] body;

    /** One change of the transaction. */
    private sealed interface Operation {
        /** Appends the change in the encoding that the protocol prescribes. */
        void writeTo(ArrayNode operationArray);
    }

    private record Put(String key, JsonNode value, long leaseId) implements Operation {
        private static final long NO_LEASE = 0;

        @Override
        public void writeTo(ArrayNode operationArray) {
            ObjectNode putObject = operationArray.addObject().put("set", key);
            putObject.set("v", value);
            if (leaseId != NO_LEASE) {
                putObject.put("permit", leaseId);
            }
        }
    }

    private record Delete(String key) implements Operation {
        @Override
        public void writeTo(ArrayNode operationArray) {
            operationArray.addObject().put("drop", key);
        }
    }

    private Transaction(ImmutableMap<String, Long> comparisons, ImmutableList<Operation> operations) {
        this.comparisons = comparisons;
        this.operations = operations;
        this.body = Json.bytes(toJson());
    }

    /** Returns a builder without comparisons and changes. */
    public static Builder builder() {
        return new Builder();
    }

    byte[] body() {
        return body;
    }

    /** The number of changes. */
    public int changeCount() {
        return operations.size();
    }

    /** The number of compared keys, which include all changed keys. */
    public int comparisonCount() {
        return comparisons.size();
    }

    /** The size of the request body, in bytes. */
    public int bodyBytes() {
        return body.length;
    }

    private ObjectNode toJson() {
        ObjectNode out = Json.object();
        ArrayNode comparisonArray = out.putArray("guards");
        comparisons.forEach(
                (key, modRevision) -> comparisonArray.addObject().put("k", key).put("stamp", modRevision));
        ArrayNode operationArray = out.putArray("then");
        operations.forEach(operation -> operation.writeTo(operationArray));
        return out;
    }

    /** Collects comparisons and changes. Every change adds a comparison of its key's mod revision, 0 for a new key. */
    public static final class Builder {
        private final Map<String, Long> comparisons = new LinkedHashMap<>();
        private final ImmutableList.Builder<Operation> operations = ImmutableList.builder();

        /** Requires that the key has the given mod revision. Revision 0 requires that the key does not exist. */
        public Builder compare(String key, long expectedRevision) {
            comparisons.put(key, expectedRevision);
            return this;
        }

        /** Writes a key that has the expected revision. */
        public Builder put(String key, long expectedRevision, JsonNode value) {
            return putWithLease(key, expectedRevision, value, Put.NO_LEASE);
        }

        /** Writes a key that the service deletes when the lease expires or is revoked. */
        public Builder putWithLease(String key, long expectedRevision, JsonNode value, long leaseId) {
            compare(key, expectedRevision);
            operations.add(new Put(key, value, leaseId));
            return this;
        }

        /** Deletes a key that has the expected revision. */
        public Builder delete(String key, long expectedRevision) {
            compare(key, expectedRevision);
            operations.add(new Delete(key));
            return this;
        }

        /** Returns the transaction, with comparisons and changes in the order of the calls. */
        public Transaction build() {
            return new Transaction(ImmutableMap.copyOf(comparisons), operations.build());
        }
    }
}
