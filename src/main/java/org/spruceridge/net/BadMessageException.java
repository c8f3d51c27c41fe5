package org.spruceridge.net;

/** A received message or stored record that cannot be decoded. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int MAX_SHOWN_LENGTH = 100;

    /** {@code message} describes the problem and is returned to the sender or logged. */
    public BadMessageException(String message) {
        super(message, null, false, false);
    }

    /**
     * Returns a received text as it appears in error messages: the text itself if it is short and printable, otherwise
     * only its length.
     */
    public static String describe(String text) {
        boolean isPrintable = text.chars().noneMatch(Character::isISOControl);
        boolean isShort = !text.isEmpty() && text.length() <= MAX_SHOWN_LENGTH;
        return isPrintable && isShort ? text : "a string of " + text.length() + " characters";
    }
}
