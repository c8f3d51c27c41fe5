package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** The stored record of the leader: its host name, the incarnation of its process, and its term. */
public record LeaderRecord(String hostName, String incarnation, long term) {
    /** Reads the record; a {@link BadMessageException} means that it is malformed. */
    public static LeaderRecord read(JsonNode value) throws BadMessageException {
        return new LeaderRecord(
                Json.text(value, "host"), Json.text(value, "incarnation"), Json.nonNegativeLong(value, "term"));
    }

    /** Returns the record as JSON. */
    public ObjectNode write() {
        return Json.object()
                .put("host", hostName)
                .put("incarnation", incarnation)
                .put("term", term);
    }
}
