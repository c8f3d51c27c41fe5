package org.spruceridge.net;

/** A received message or stored record that cannot be decoded. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** {@code message} describes the problem and is returned to the sender or logged. */
    public BadMessageException(String message) {
        super(message, null, false, false);
    }
}
