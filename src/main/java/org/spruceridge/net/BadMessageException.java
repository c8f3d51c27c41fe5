package org.spruceridge.net;

/** A message from outside that cannot be read. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The message tells what is wrong. */
    public BadMessageException(String message) {
        super(message, null, false, false);
    }
}
