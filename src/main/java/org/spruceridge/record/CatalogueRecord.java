package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The machine types as last read from the cloud, kept so that a node which starts during an outage of the cloud can still
 * validate and place jobs. Its prices are those of the time at which it was written.
 */
public record CatalogueRecord(ImmutableMap<String, MachineType> types) {

    /** Reads the record. */
    public static CatalogueRecord read(JsonNode value) throws BadMessageException {
        ImmutableMap.Builder<String, MachineType> out = ImmutableMap.builder();
        for (JsonNode item : Json.list(value, "types")) {
            ImmutableList.Builder<String> zones = ImmutableList.builder();
            Json.list(item, "zones").forEach(z -> zones.add(z.asText()));
            String name = Json.text(item, "name");
            Resources room =
                    new Resources(Json.number(item, "cpus"), Json.number(item, "gpus"), Json.number(item, "memGb"));
            out.put(
                    name,
                    new MachineType(
                            name,
                            room,
                            Json.number(item, "fetch"),
                            Json.number(item, "price"),
                            Json.number(item, "spotPrice"),
                            Json.number(item, "bootS"),
                            zones.build()));
        }
        return new CatalogueRecord(out.buildKeepingLast());
    }

    /** The record as JSON. */
    public ObjectNode write() {
        ObjectNode out = Json.object();
        ArrayNode list = out.putArray("types");
        for (MachineType t : types.values()) {
            ObjectNode item = list.addObject()
                    .put("name", t.name())
                    .put("cpus", t.capacity().cpus())
                    .put("gpus", t.capacity().gpus())
                    .put("memGb", t.capacity().memGb())
                    .put("fetch", t.fetchGbPerS())
                    .put("price", t.price())
                    .put("spotPrice", t.spotPrice())
                    .put("bootS", t.bootS());
            ArrayNode zones = item.putArray("zones");
            t.zones().forEach(zones::add);
        }
        return out;
    }

    /** True if both hold the same types; prices change all the time and are not compared. */
    public boolean sameTypes(CatalogueRecord other) {
        return types.keySet().equals(other.types.keySet())
                && types.values().stream().allMatch(t -> {
                    MachineType o = other.types.get(t.name());
                    return t.capacity().equals(o.capacity())
                            && t.bootS() == o.bootS()
                            && t.zones().equals(o.zones());
                });
    }
}
