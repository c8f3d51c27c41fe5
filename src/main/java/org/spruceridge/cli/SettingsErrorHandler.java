package org.spruceridge.cli;

import org.spruceridge.config.SettingsException;
import picocli.CommandLine;

/**
 * Prints a settings error on one line and returns {@link Main#INVALID_SETTINGS_EXIT_CODE}. Rethrows other exceptions.
 */
final class SettingsErrorHandler implements CommandLine.IExecutionExceptionHandler {
    @Override
    public int handleExecutionException(
            Exception exception, CommandLine commandLine, CommandLine.ParseResult parseResult) throws Exception {
        if (exception instanceof SettingsException) {
            commandLine.getErr().println("spruceridge: " + exception.getMessage());
            return Main.INVALID_SETTINGS_EXIT_CODE;
        }
        throw exception;
    }
}
