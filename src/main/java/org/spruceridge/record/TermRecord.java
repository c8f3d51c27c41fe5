package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.Json;

/**
 * The stored number of the latest term, which is the first fencing token of its leader, or the highest fencing token
 * that this leader reserved. The record is never deleted.
 */
public record TermRecord(long term) {
    private static final String TERM = "term";

    /** Returns the record of the next term. */
    public TermRecord next() {
        return plus(1);
    }

    /** Returns the record after the current leader has reserved {@code count} more fencing tokens. */
    public TermRecord plus(long count) {
        return new TermRecord(term + count);
    }

    /** Returns the record as JSON. */
    public ObjectNode write() {
        return Json.object().put(TERM, term);
    }

    /** Reads the record. The term is 0 if the record contains no number. */
    public static TermRecord read(JsonNode value) {
        return new TermRecord(value.path(TERM).asLong());
    }
}
