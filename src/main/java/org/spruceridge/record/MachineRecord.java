package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** What is bound to a machine. {@code write} names the transaction that wrote it. */
public record MachineRecord(
        String address, String type, String zone, boolean spot, ImmutableList<Bound> bound, String write) {

    /** About what one binding takes in a record, in bytes. */
    public static final int BOUND_BYTES = 64;
    /** About what a record takes beside its bindings. */
    public static final int OWN_BYTES = 512;

    /** One task and attempt. */
    public record Bound(TaskId task, long attempt) {}

    public static MachineRecord read(JsonNode value) throws BadMessageException {
        ImmutableList.Builder<Bound> bound = ImmutableList.builder();
        for (JsonNode item : Json.list(value, "bound")) {
            bound.add(new Bound(
                    new TaskId(item.path(0).asText(), item.path(1).asInt()),
                    item.path(2).asLong()));
        }
        return new MachineRecord(
                Json.text(value, "address"),
                Json.text(value, "type"),
                Json.text(value, "zone"),
                Json.flag(value, "spot"),
                bound.build(),
                Json.text(value, "w"));
    }

    public ObjectNode toJson() {
        ObjectNode out = Json.object()
                .put("address", address)
                .put("type", type)
                .put("zone", zone)
                .put("spot", spot)
                .put("w", write);
        ArrayNode list = out.putArray("bound");
        for (Bound b : bound) {
            list.addArray().add(b.task.job()).add(b.task.index()).add(b.attempt);
        }
        return out;
    }
}
