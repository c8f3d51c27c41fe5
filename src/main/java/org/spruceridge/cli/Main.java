package org.spruceridge.cli;

/** The entry point of the program. */
public final class Main {
    /** The exit code for settings that cannot be used. */
    static final int BAD_SETTINGS = 3;

    private Main() {}

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] args) {
        LogLevel.apply(System.getenv("LOG_LEVEL"));
        System.exit(Commands.commandLine().execute(args));
    }
}
