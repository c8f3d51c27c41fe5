package org.spruceridge.net;

import com.fasterxml.jackson.databind.JsonNode;

/** An answer to a request; {@code retryAfterS} of 0 sends no such header. */
public record Response(int status, byte[] body, int retryAfterS) {
    /** An answer with a JSON body. */
    public static Response of(int status, JsonNode body) {
        return new Response(status, Json.bytes(body), 0);
    }

    /** An answer that says in a word or two why it is no success. */
    public static Response error(int status, String why) {
        return of(status, Json.object().put("error", why));
    }

    /** The service cannot take the request now; the caller should come back after the given time. */
    public static Response unavailable(int retryAfterS, String why) {
        return new Response(503, Json.bytes(Json.object().put("error", why)), retryAfterS);
    }
}
