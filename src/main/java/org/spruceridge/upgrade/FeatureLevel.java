package org.spruceridge.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The cluster feature level: which forms of records every node of the cluster can read, and so which may be written. It
 * is stored in the state service, is raised once all nodes support the next level, and is never lowered.
 */
public enum FeatureLevel {
    /** Version 0.1, which stores no level. */
    BASE(1),
    /** Job records of services; pages of finished tasks whose chunks name their first task. */
    SERVICES(2);

    /** The highest level that this version supports. */
    public static final FeatureLevel SUPPORTED = SERVICES;

    private static final String FIELD = "level";

    private final int number;

    FeatureLevel(int number) {
        this.number = number;
    }

    /** The number of the level in its record and in peer heartbeats. */
    public int number() {
        return number;
    }

    /** True if this level permits every form of record that the other permits. */
    public boolean includes(FeatureLevel other) {
        return number >= other.number;
    }

    /** The record of this level as JSON. */
    public ObjectNode write() {
        return Json.object().put(FIELD, number);
    }

    /** Reads the record. A {@link BadMessageException} names a level that this version does not know. */
    public static FeatureLevel read(JsonNode value) throws BadMessageException {
        long number = Json.nonNegativeLong(value, FIELD);
        for (FeatureLevel level : values()) {
            if (level.number == number) {
                return level;
            }
        }
        throw new BadMessageException(
                "feature level " + number + " is not known here; this version supports " + SUPPORTED.number);
    }
}
