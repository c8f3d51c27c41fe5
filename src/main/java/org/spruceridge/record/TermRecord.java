package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.Json;

/**
 * The stored numbers of the latest election. The record is never deleted.
 *
 * @param term the term of the leader, which is its first fencing token, or the highest fencing token that it reserved
 * @param election the number of the election, which grows by one with each election and does not depend on reserved
 *     tokens. It is at most as high as the term.
 */
public record TermRecord(long term, long election) {
    private static final String TERM = "term";
    private static final String ELECTION = "election";

    /** The record of the first election. */
    public static final TermRecord FIRST = new TermRecord(1, 1);

    /** Returns the record of the next election. */
    public TermRecord next() {
        return new TermRecord(term + 1, election + 1);
    }

    /** Returns the record after the current leader has reserved {@code count} more fencing tokens. */
    public TermRecord withReservedTokens(long count) {
        return new TermRecord(term + count, election);
    }

    /** Returns the record as JSON. It contains the number of the election only if it differs from the term. */
    public ObjectNode write() {
        ObjectNode json = Json.object().put(TERM, term);
        return election == term ? json : json.put(ELECTION, election);
    }

    /**
     * Reads the record. The term is 0 if the record contains no number. A record without the number of the election was
     * written by version 0.1 or before any reservation; the election then has the number of the term.
     */
    public static TermRecord read(JsonNode value) {
        long term = value.path(TERM).asLong();
        return new TermRecord(term, value.path(ELECTION).asLong(term));
    }
}
