package org.spruceridge.net;

/** A received message or stored record that cannot be decoded. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** {@code message} says what is wrong with it. */
    public BadMessageException(String message) {
        super(message, null, false, false);
    }
}
