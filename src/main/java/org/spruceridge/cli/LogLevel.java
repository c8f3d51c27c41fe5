package org.spruceridge.cli;

import java.util.Locale;

/** Configures the logging library. This must run before the first logger is created. */
final class LogLevel {
    private static final String PREFIX = "org.slf4j.simpleLogger.";

    private LogLevel() {}

    /** {@code requested} is the value of LOG_LEVEL; null or an unknown level means info. */
    static void apply(String requested) {
        String level = requested == null ? "info" : requested.trim().toLowerCase(Locale.ROOT);
        boolean known = level.equals("error") || level.equals("info") || level.equals("debug");
        System.setProperty(PREFIX + "defaultLogLevel", "error");
        System.setProperty(PREFIX + "log.org.spruceridge", known ? level : "info");
        System.setProperty(PREFIX + "showThreadName", "false");
        System.setProperty(PREFIX + "showShortLogName", "true");
        System.setProperty(PREFIX + "showDateTime", "true");
        System.setProperty(PREFIX + "logFile", "System.err");
    }
}
