package org.spruceridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Builds the command line of the program. It uses picocli's programmatic model and not its annotations: these cost a tenth
 * of a second of processor time in each start, which is more than a second on the smallest machines.
 */
final class Commands {
    private Commands() {}

    /** A command with the options that all commands have. */
    static CommandSpec describe(String name, String description, Callable<Integer> work) {
        CommandSpec spec = CommandSpec.wrapWithoutInspection(work).name(name);
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

    /** The version of the jar. */
    private static String[] version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return new String[] {"spruceridge " + (version == null ? "(unpackaged)" : version)};
    }

    /** The program with all its commands. */
    static CommandLine commandLine() {
        CommandSpec root = describe("spruceridge", "A cluster scheduler after Convergent Scheduling 2.0.", null);
        root.addSubcommand("serve", ServeCommand.describe());
        root.addSubcommand("check-config", CheckConfigCommand.describe());
        root.addSubcommand("rehearse", ClassArchiveCommand.describe());
        return new CommandLine(root).setExecutionExceptionHandler(new SettingsErrorHandler());
    }
}
