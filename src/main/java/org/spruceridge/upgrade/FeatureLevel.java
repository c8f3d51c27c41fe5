package org.spruceridge.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The cluster feature level determines which forms of records may be written: those that every node of the cluster can
 * read. It is stored in the state service, raised once all nodes support the next level, and never lowered.
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

    /** True if this level permits every form of record that the other permits. */
    public boolean includes(FeatureLevel other) {
        return number >= other.number;
    }

    /** The record of this level as JSON. */
    public ObjectNode write() {
        return Json.object().put(FIELD, number);
    }

    /**
     * Reads the record; throws {@link BadMessageException} if it is malformed or its level is unknown to this version.
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
