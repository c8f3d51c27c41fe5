package org.spruceridge.cli;

import org.spruceridge.config.SettingsException;
import picocli.CommandLine;

/** Prints an error in the settings in one line and maps it to its exit code. Other exceptions are passed on. */
final class SettingsErrorHandler implements CommandLine.IExecutionExceptionHandler {
    @Override
    public int handleExecutionException(Exception e, CommandLine line, CommandLine.ParseResult parsed)
            throws Exception {
        if (e instanceof SettingsException) {
            line.getErr().println("spruceridge: " + e.getMessage());
            return Main.BAD_SETTINGS;
        }
        throw e;
    }
}
