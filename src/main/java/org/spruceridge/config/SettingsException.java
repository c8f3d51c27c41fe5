package org.spruceridge.config;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown for unusable settings. The message is one line that names the file or the field and the problem. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** {@code message} names the field and the problem. */
    public SettingsException(String message) {
        super(message);
    }

    /** The error for a file that could not be read from disk. */
    static SettingsException unreadableFile(Path file, IOException cause) {
        return new SettingsException(
                "cannot read " + file + ": " + cause.getClass().getSimpleName());
    }

    /** Returns the same error, with the file name before the message. */
    public SettingsException inFile(Path file) {
        return new SettingsException(file + ": " + getMessage());
    }
}
