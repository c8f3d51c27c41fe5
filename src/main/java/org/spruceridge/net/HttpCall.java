package org.spruceridge.net;

/** A request to another service; an empty {@code body} means that the request has none. */
public record HttpCall(String method, String target, byte[] body) {
    private static final byte[] NO_BODY = {};

    /** A GET without a body. */
    public static HttpCall get(String target) {
        return new HttpCall("GET", target, NO_BODY);
    }

    /** A POST with a JSON body. */
    public static HttpCall post(String target, byte[] body) {
        return new HttpCall("POST", target, body);
    }
}
