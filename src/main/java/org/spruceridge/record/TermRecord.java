package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.Json;

/** The stored counter of terms: the latest term, which is the fencing token of its leader. It is never deleted. */
public record TermRecord(long term) {
    private static final String TERM = "term";

    /** The record of the next term. */
    public TermRecord next() {
        return new TermRecord(term + 1);
    }

    /** The record as JSON. */
    public ObjectNode write() {
        return Json.object().put(TERM, term);
    }

    /** Reads the record; a record without a number counts as 0. */
    public static TermRecord read(JsonNode value) {
        return new TermRecord(value.path(TERM).asLong());
    }
}
