package org.spruceridge.net;

import com.fasterxml.jackson.databind.JsonNode;

/** A response to a request. If {@code retryAfterS} is 0, the response has no {@code Retry-After} header. */
public record Response(int status, byte[] body, int retryAfterS) {
    /** Creates a response with a JSON body. */
    public static Response of(int status, JsonNode body) {
        return new Response(status, Json.bytes(body), 0);
    }

    /** Creates an error response with a short reason. */
    public static Response error(int status, String reason) {
        return of(status, Json.object().put("error", reason));
    }

    /**
     * Creates a response with status 503: the request cannot be handled now, and the client should retry after {@code
     * retryAfterS} seconds.
     */
    public static Response unavailable(int retryAfterS, String reason) {
        return new Response(503, Json.bytes(Json.object().put("error", reason)), retryAfterS);
    }
}
