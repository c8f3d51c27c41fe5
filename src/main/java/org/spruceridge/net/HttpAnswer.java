package org.spruceridge.net;

/**
 * The outcome of a request to another service.
 *
 * @param status the HTTP status, or 0 if no response came
 * @param body the body of the response, empty if none came
 * @param sent false if the request was certainly not carried out
 */
public record HttpAnswer(int status, byte[] body, boolean sent) {
    private static final HttpAnswer NO_RESPONSE = new HttpAnswer(0, new byte[0], true);
    private static final HttpAnswer NOT_SENT = new HttpAnswer(0, new byte[0], false);

    /** A response that came. */
    public HttpAnswer(int status, byte[] body) {
        this(status, body, true);
    }

    /** No response came: the request may have been carried out or not. */
    public static HttpAnswer noResponse() {
        return NO_RESPONSE;
    }

    /** No connection was established: the request was certainly not carried out, nor will be. */
    public static HttpAnswer notSent() {
        return NOT_SENT;
    }

    /** True if a response came. */
    public boolean hasResponse() {
        return status != 0;
    }
}
