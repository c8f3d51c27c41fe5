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
 * The machine types as last read from the cloud. The record lets a node that starts during an outage of the cloud
 * validate and place jobs. The prices were valid at the time of writing and are possibly outdated.
 */
public record CatalogueRecord(ImmutableMap<String, MachineType> types) {

    /** Reads the record; a {@link BadMessageException} means that it is malformed. */
    public static CatalogueRecord read(JsonNode value) throws BadMessageException {
        ImmutableMap.Builder<String, MachineType> out = ImmutableMap.builder();
        for (JsonNode item : Json.list(value, "types")) {
            ImmutableList.Builder<String> zones = ImmutableList.builder();
            Json.list(item, "zones").forEach(zone -> zones.add(zone.asText()));
            String name = Json.text(item, "name");
            Resources capacity =
                    new Resources(Json.number(item, "cpus"), Json.number(item, "gpus"), Json.number(item, "memGb"));
            out.put(
                    name,
                    new MachineType(
                            name,
                            capacity,
                            Json.number(item, "fetch"),
                            Json.number(item, "price"),
                            Json.number(item, "spotPrice"),
                            Json.number(item, "bootS"),
                            zones.build()));
        }
        return new CatalogueRecord(out.buildKeepingLast());
    }

    /** Returns the record as JSON. */
    public ObjectNode write() {
        ObjectNode out = Json.object();
        ArrayNode items = out.putArray("types");
        for (MachineType type : types.values()) {
            ObjectNode item = items.addObject()
                    .put("name", type.name())
                    .put("cpus", type.capacity().cpus())
                    .put("gpus", type.capacity().gpus())
                    .put("memGb", type.capacity().memGb())
                    .put("fetch", type.fetchGbPerS())
                    .put("price", type.price())
                    .put("spotPrice", type.spotPrice())
                    .put("bootS", type.bootS());
            ArrayNode zones = item.putArray("zones");
            type.zones().forEach(zones::add);
        }
        return out;
    }

    /** True if both records contain the same machine types. Ignores fetch rates, and prices, which change often. */
    public boolean sameTypes(CatalogueRecord other) {
        return types.keySet().equals(other.types.keySet())
                && types.values().stream().allMatch(type -> {
                    MachineType otherType = other.types.get(type.name());
                    return type.capacity().equals(otherType.capacity())
                            && type.bootS() == otherType.bootS()
                            && type.zones().equals(otherType.zones());
                });
    }
}
