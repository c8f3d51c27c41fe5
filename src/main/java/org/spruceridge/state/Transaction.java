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
    private final ImmutableMap<String, Long> guards;
    private final ImmutableList<Op> ops;
    private final byte[] body;

    private record Op(String key, JsonNode value, long leaseId) {}

    private Transaction(ImmutableMap<String, Long> guards, ImmutableList<Op> ops) {
        this.guards = guards;
        this.ops = ops;
        this.body = Json.bytes(toJson());
    }

    /** A transaction without guards and changes yet. */
    public static Builder builder() {
        return new Builder();
    }

    byte[] body() {
        return body;
    }

    /** How many changes it makes. */
    public int changeCount() {
        return ops.size();
    }

    /** How many guards it has, those of changed keys included. */
    public int guardCount() {
        return guards.size();
    }

    /** Of its body, in bytes. */
    public int size() {
        return body.length;
    }

    private ObjectNode toJson() {
        ObjectNode out = Json.object();
        ArrayNode ifs = out.putArray("guards");
        guards.forEach((key, modRevision) -> ifs.addObject().put("k", key).put("stamp", modRevision));
        ArrayNode then = out.putArray("then");
        for (Op op : ops) {
            if (op.value == null) {
                then.addObject().put("drop", op.key);
            } else {
                ObjectNode set = then.addObject().put("set", op.key);
                set.set("v", op.value);
                if (op.leaseId != 0) {
                    set.put("permit", op.leaseId);
                }
            }
        }
        return out;
    }

    /** Collects guards and changes; every key that is changed must be guarded by its last stamp, 0 if it is new. */
    public static final class Builder {
        private final Map<String, Long> guards = new LinkedHashMap<>();
        private final ImmutableList.Builder<Op> ops = ImmutableList.builder();

        /** Requires that the key still has this stamp; 0 that it does not exist. */
        public Builder guard(String key, long modRevision) {
            guards.put(key, modRevision);
            return this;
        }

        /** Sets a key. */
        public Builder set(String key, long lastStamp, JsonNode value) {
            return set(key, lastStamp, value, 0);
        }

        /** Sets a key that vanishes with the grant. */
        public Builder set(String key, long lastStamp, JsonNode value, long leaseId) {
            guard(key, lastStamp);
            ops.add(new Op(key, value, leaseId));
            return this;
        }

        /** Removes a key. */
        public Builder drop(String key, long lastStamp) {
            guard(key, lastStamp);
            ops.add(new Op(key, null, 0));
            return this;
        }

        /** The transaction. */
        public Transaction build() {
            return new Transaction(ImmutableMap.copyOf(guards), ops.build());
        }
    }
}
