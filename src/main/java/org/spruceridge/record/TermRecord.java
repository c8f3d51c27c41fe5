package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.Json;

/** The counter of terms: the number of the latest one, which is the fencing token of its leader. It is never removed. */
public record TermRecord(long term) {
    private static final String TERM = "term";

    /** The record of the term after this one. */
    public TermRecord next() {
        return new TermRecord(term + 1);
    }

    /** The value of the key. */
    public ObjectNode write() {
        return Json.object().put(TERM, term);
    }

    /** Reads the value of the key; one without a number counts as 0. */
    public static TermRecord read(JsonNode value) {
        return new TermRecord(value.path(TERM).asLong());
    }
}
