package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;

/** One change seen by a watch; a null value means that the key was dropped. */
public record Change(String key, JsonNode value, long modRevision) {
    /** True if the key was removed. */
    public boolean dropped() {
        return value == null;
    }
}
