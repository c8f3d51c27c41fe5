package org.spruceridge.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The program: a command for each thing an operator does. */
@Command(
        name = "spruceridge",
        description = "A cluster scheduler after Convergent Scheduling 2.0.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        subcommands = {ServeCommand.class, CheckConfigCommand.class, RehearseCommand.class})
public final class Main {
    /** Settings that cannot be used. */
    static final int BAD_SETTINGS = 3;

    private Main() {}

    public static void main(String[] args) {
        LogLevel.apply(System.getenv("LOG_LEVEL"));
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler(new SettingsComplaint());
        System.exit(line.execute(args));
    }

    /** The version of the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"spruceridge " + (version == null ? "(unpackaged)" : version)};
        }
    }
}
