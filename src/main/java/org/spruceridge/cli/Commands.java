package org.spruceridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Builds the command line of the program with picocli's programmatic model. Picocli's annotations would cost 0.1 s of
 * CPU time at each start. On the smallest machines, they would prolong the start by more than 1 s.
 */
final class Commands {
    private Commands() {}

    /** Creates the specification of a command, with the options that all commands have. */
    static CommandSpec newSpec(String name, String description, Callable<Integer> action) {
        CommandSpec spec = CommandSpec.wrapWithoutInspection(action).name(name);
        spec.usageMessage().description(description);
        return spec.addOption(flag("-h", "--help", "Show this help message and exit.")
                        .usageHelp(true)
                        .build())
                .addOption(flag("-V", "--version", "Print version information and exit.")
                        .versionHelp(true)
                        .build())
                .versionProvider(Commands::version);
    }

    private static OptionSpec.Builder flag(String shortName, String longName, String description) {
        return OptionSpec.builder(shortName, longName)
                .type(boolean.class)
                .arity("0")
                .description(description);
    }

    /** The version of the jar, as printed by {@code --version}. */
    private static String[] version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return new String[] {"spruceridge " + (version == null ? "(unpackaged)" : version)};
    }

    /** Creates the command line of the program with all its commands. */
    static CommandLine commandLine() {
        CommandSpec root = newSpec("spruceridge", "A cluster scheduler based on Convergent Scheduling 2.0.", null);
        root.addSubcommand("serve", ServeCommand.createSpec());
        root.addSubcommand("check-config", CheckConfigCommand.createSpec());
        root.addSubcommand("rehearse", ClassArchiveCommand.createSpec());
        return new CommandLine(root).setExecutionExceptionHandler(new SettingsErrorHandler());
    }
}
