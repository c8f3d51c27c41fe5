package org.spruceridge.cli;

import java.util.Locale;

/** Configures the logging library. {@link #apply} must run before the first logger is created. */
final class LogLevel {
    private static final String PROPERTY_PREFIX = "org.slf4j.simpleLogger.";

    private LogLevel() {}

    /**
     * Sets the log level of this program. {@code requestedLevel} is the value of LOG_LEVEL; null or an unknown level
     * means info.
     */
    static void apply(String requestedLevel) {
        String level = requestedLevel == null ? "info" : requestedLevel.trim().toLowerCase(Locale.ROOT);
        boolean isKnown = level.equals("error") || level.equals("info") || level.equals("debug");
        System.setProperty(PROPERTY_PREFIX + "defaultLogLevel", "error");
        System.setProperty(PROPERTY_PREFIX + "log.org.spruceridge", isKnown ? level : "info");
        System.setProperty(PROPERTY_PREFIX + "showThreadName", "false");
        System.setProperty(PROPERTY_PREFIX + "showShortLogName", "true");
        System.setProperty(PROPERTY_PREFIX + "showDateTime", "true");
        System.setProperty(PROPERTY_PREFIX + "logFile", "System.err");
    }
}
