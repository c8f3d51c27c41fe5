package org.spruceridge.config;

import java.io.IOException;
import java.nio.file.Path;

/** Settings that cannot be used. The message is one line that names the file or the field and says what is wrong. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message names the field and says what is wrong with it. */
    public SettingsException(String message) {
        super(message);
    }

    /** A file that could not be read from the disk. */
    static SettingsException unreadableFile(Path file, IOException cause) {
        return new SettingsException(
                "cannot read " + file + ": " + cause.getClass().getSimpleName());
    }

    /** The same error, with the file in front of the message. */
    public SettingsException inFile(Path file) {
        return new SettingsException(file + ": " + getMessage());
    }
}
