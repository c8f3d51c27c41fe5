package org.spruceridge.config;

/** Settings that cannot be used; the message is one line that names the field. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message names the field and what is wrong with it. */
    public SettingsException(String message) {
        super(message);
    }
}
