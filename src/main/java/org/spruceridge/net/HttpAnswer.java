package org.spruceridge.net;

/** What came of a request; status 0 means that no response came, and the request may have been carried out or not. */
public record HttpAnswer(int status, byte[] body, boolean sent) {
    private static final HttpAnswer NO_RESPONSE = new HttpAnswer(0, new byte[0], true);
    private static final HttpAnswer NOT_SENT = new HttpAnswer(0, new byte[0], false);

    /** An answer that came. */
    public HttpAnswer(int status, byte[] body) {
        this(status, body, true);
    }

    /** No answer came: the request may have been carried out. */
    public static HttpAnswer noResponse() {
        return NO_RESPONSE;
    }

    /** No connection came about: the request was certainly not carried out, nor will be. */
    public static HttpAnswer notSent() {
        return NOT_SENT;
    }

    /** True if an answer came. */
    public boolean hasResponse() {
        return status != 0;
    }
}
