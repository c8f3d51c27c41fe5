package org.spruceridge.net;

/**
 * The outcome of a request to another service.
 *
 * @param status the HTTP status, or 0 if no response was received
 * @param body the body of the response, empty if no response was received
 * @param sent false if the request was certainly not executed, true if it may have been executed
 */
public record HttpAnswer(int status, byte[] body, boolean sent) {
    private static final HttpAnswer NO_RESPONSE = new HttpAnswer(0, new byte[0], true);
    private static final HttpAnswer NOT_SENT = new HttpAnswer(0, new byte[0], false);

    /** The outcome of a request whose response was received. */
    public HttpAnswer(int status, byte[] body) {
        this(status, body, true);
    }

    /** No response was received: the request may or may not have been executed. */
    public static HttpAnswer noResponse() {
        return NO_RESPONSE;
    }

    /** No connection was established: the request was not executed and will not be. */
    public static HttpAnswer notSent() {
        return NOT_SENT;
    }

    /** True if a response was received. */
    public boolean hasResponse() {
        return status != 0;
    }
}
