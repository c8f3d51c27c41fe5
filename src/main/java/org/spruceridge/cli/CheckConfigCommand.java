package org.spruceridge.cli;

import java.util.concurrent.Callable;
import org.spruceridge.config.Settings;
import picocli.CommandLine.Model.CommandSpec;

/** Checks the settings files without starting a node. */
final class CheckConfigCommand implements Callable<Integer> {
    private final SettingsFiles files = new SettingsFiles();
    private CommandSpec spec;

    static CommandSpec createSpec() {
        CheckConfigCommand command = new CheckConfigCommand();
        command.spec = command.files.addOptionsTo(Commands.newSpec("check-config", "Checks settings files.", command));
        return command.spec;
    }

    @Override
    public Integer call() {
        Settings settings = files.settings();
        files.policy();
        spec.commandLine().getOut().printf("ok: %s, one of %d nodes%n", settings.hostName(), settings.nodeCount());
        return 0;
    }
}
