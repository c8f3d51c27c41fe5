package org.spruceridge.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.Json;
import org.spruceridge.net.RateLimitedWarnings;

/** Parses responses of the state service. An unreadable response causes a warning and counts as missing. */
final class StateResponses {
    static final int TOO_MANY_REQUESTS = 429;
    static final int SERVICE_UNAVAILABLE = 503;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;

    private final RateLimitedWarnings warnings;

    StateResponses(RateLimitedWarnings warnings) {
        this.warnings = warnings;
    }

    /** One page of a listing; {@code bytes} is the size of the response body. */
    record ListingPage(ImmutableList<Entry> entries, long revision, boolean truncated, long bytes) {}

    /** Reads the body of a response with status 200. */
    private interface BodyReader<T> {
        T read(JsonNode body) throws BadMessageException;
    }

    StateResult<Entry> entry(String key, HttpAnswer response) {
        if (response.status() == NOT_FOUND) {
            return StateResult.failed(StateResult.Outcome.NOT_FOUND);
        }
        return read(response, body -> new Entry(key, body.path("v"), Json.nonNegativeLong(body, "stamp")));
    }

    StateResult<ListingPage> listingPage(HttpAnswer response) {
        return read(response, body -> {
            ImmutableList.Builder<Entry> entries = ImmutableList.builder();
            for (JsonNode item : Json.list(body, "entries")) {
                entries.add(new Entry(Json.text(item, "k"), item.path("v"), Json.nonNegativeLong(item, "stamp")));
            }
            long revision = Json.nonNegativeLong(body, "ring");
            boolean truncated = body.path("truncated").asBoolean();
            return new ListingPage(entries.build(), revision, truncated, response.body().length);
        });
    }

    StateResult<Long> createdLease(HttpAnswer response) {
        return read(response, body -> Json.nonNegativeLong(body, "permit"));
    }

    /** Reads a renewal. The value of a successful renewal is {@code sentAtNanos}, the send time of the request. */
    static StateResult<Long> renewedLease(HttpAnswer response, long sentAtNanos) {
        return switch (response.status()) {
            case OK -> StateResult.ok(sentAtNanos);
            case NOT_FOUND -> StateResult.failed(StateResult.Outcome.NOT_FOUND);
            default -> StateResult.failed(StateResult.Outcome.UNAVAILABLE);
        };
    }

    StateResult<Changes> changes(HttpAnswer response) {
        if (response.status() == GONE) {
            return StateResult.failed(StateResult.Outcome.REVISION_COMPACTED);
        }
        return read(response, body -> {
            ImmutableList.Builder<Change> changes = ImmutableList.builder();
            for (JsonNode item : Json.list(body, "log")) {
                changes.add(change(item));
            }
            return new Changes(changes.build(), Json.nonNegativeLong(body, "ring"));
        });
    }

    private static Change change(JsonNode item) throws BadMessageException {
        if (item.has("set")) {
            return new Change.Put(Json.text(item, "set"), item.path("v"), Json.nonNegativeLong(item, "stamp"));
        }
        return new Change.Delete(Json.text(item, "drop"), Json.nonNegativeLong(item, "stamp"));
    }

    TransactionResult transaction(HttpAnswer response) {
        try {
            return switch (response.status()) {
                case OK -> TransactionResult.committed(Json.nonNegativeLong(Json.object(response.body()), "ring"));
                case CONFLICT -> TransactionResult.conflict(conflictingKeys(response));
                case BAD_REQUEST -> TransactionResult.of(
                        bodyText(response).contains("no such lease")
                                ? TransactionResult.Outcome.LEASE_NOT_FOUND
                                : TransactionResult.Outcome.MALFORMED);
                case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> TransactionResult.of(
                        TransactionResult.Outcome.NOT_EXECUTED);
                default -> TransactionResult.of(TransactionResult.Outcome.UNKNOWN);
            };
        } catch (BadMessageException e) {
            warnUnreadable(e);
            return TransactionResult.of(TransactionResult.Outcome.UNKNOWN);
        }
    }

    private static ImmutableList<String> conflictingKeys(HttpAnswer response) throws BadMessageException {
        ImmutableList.Builder<String> keys = ImmutableList.builder();
        Json.list(Json.object(response.body()), "failed").forEach(key -> keys.add(key.asText()));
        return keys.build();
    }

    /** The body as text, for error messages. */
    static String bodyText(HttpAnswer response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    private <T> StateResult<T> read(HttpAnswer response, BodyReader<T> reader) {
        if (response.status() != OK) {
            return StateResult.failed(StateResult.Outcome.UNAVAILABLE);
        }
        try {
            return StateResult.ok(reader.read(Json.object(response.body())));
        } catch (BadMessageException e) {
            warnUnreadable(e);
            return StateResult.failed(StateResult.Outcome.UNAVAILABLE);
        }
    }

    private void warnUnreadable(BadMessageException e) {
        warnings.warn("unreadable state service response", "reason=" + e.getMessage());
    }
}
