package org.spruceridge.cli;

import java.util.concurrent.Callable;
import org.spruceridge.config.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Checks the settings files and starts nothing. */
@Command(name = "check-config", mixinStandardHelpOptions = true, description = "Checks settings files.")
final class CheckConfigCommand implements Callable<Integer> {
    @Mixin
    private SettingsFiles files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        Settings settings = files.settings();
        files.policy();
        spec.commandLine().getOut().printf("ok: %s, one of %d nodes%n", settings.hostName(), settings.nodeCount());
        return 0;
    }
}
