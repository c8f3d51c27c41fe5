package org.spruceridge.cli;

/** Hands the level of LOG_LEVEL to the logging library, before its first logger is made. */
final class LogLevel {
    private static final String PREFIX = "org.slf4j.simpleLogger.";

    private LogLevel() {}

    static void apply(String requested) {
        String level = requested == null ? "info" : requested.trim().toLowerCase(java.util.Locale.ROOT);
        boolean known = level.equals("error") || level.equals("info") || level.equals("debug");
        System.setProperty(PREFIX + "defaultLogLevel", "error");
        System.setProperty(PREFIX + "log.org.spruceridge", known ? level : "info");
        System.setProperty(PREFIX + "showThreadName", "false");
        System.setProperty(PREFIX + "showShortLogName", "true");
        System.setProperty(PREFIX + "showDateTime", "true");
        System.setProperty(PREFIX + "logFile", "System.err");
    }
}
