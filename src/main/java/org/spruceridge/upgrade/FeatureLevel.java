package org.spruceridge.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The cluster feature level determines the record formats that nodes are allowed to write: the formats that every node
 * of the cluster can read. The level is stored in the state service and never lowered. The leader raises it once all
 * nodes support the next level.
 */
public enum FeatureLevel {
    /** The level of version 0.1, which does not store a level. */
    BASE(1),
    /** Adds job records of services, and pages of finished tasks whose chunks contain the index of their first task. */
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

    /** True if this level permits every record format that the other level permits. */
    public boolean includes(FeatureLevel other) {
        return number >= other.number;
    }

    /** Returns the record of this level as JSON. */
    public ObjectNode write() {
        return Json.object().put(FIELD, number);
    }

    /**
     * Reads the record. Throws {@link BadMessageException} if the record is malformed or this version does not know its
     * level.
     */
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
