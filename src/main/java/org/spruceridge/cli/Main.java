package org.spruceridge.cli;

/** The entry point of the program. */
public final class Main {
    /** The exit code for settings that are invalid or cannot be read. */
    static final int INVALID_SETTINGS_EXIT_CODE = 3;

    private Main() {}

    /** Runs the command given by the arguments and exits with its exit code. */
    public static void main(String[] args) {
        LogLevel.apply(System.getenv("LOG_LEVEL"));
        System.exit(Commands.commandLine().execute(args));
    }
}
