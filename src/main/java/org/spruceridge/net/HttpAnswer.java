package org.spruceridge.net;

/** What came of a request; status 0 means that no response came, and the request may have been carried out or not. */
public record HttpAnswer(int status, byte[] body) {
    private static final HttpAnswer SILENCE = new HttpAnswer(0, new byte[0]);

    public static HttpAnswer silence() {
        return SILENCE;
    }

    public boolean answered() {
        return status != 0;
    }
}
