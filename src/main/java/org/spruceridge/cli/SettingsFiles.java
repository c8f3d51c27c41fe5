package org.spruceridge.cli;

import java.nio.file.Path;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.config.SettingsException;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/** The options for the two settings files: the platform's settings and the operators' policy. */
final class SettingsFiles {
    private final OptionSpec configOption =
            file("--config", "the platform's settings, JSON").required(true).build();
    private final OptionSpec policyOption =
            file("--policy", "the operators' own settings, YAML").build();

    private static OptionSpec.Builder file(String name, String description) {
        return OptionSpec.builder(name).type(Path.class).paramLabel("FILE").description(description);
    }

    /** Adds the options to a command. */
    CommandSpec addOptionsTo(CommandSpec spec) {
        return spec.addOption(configOption).addOption(policyOption);
    }

    Settings settings() {
        Path file = configOption.getValue();
        try {
            return Settings.load(file);
        } catch (SettingsException e) {
            throw e.inFile(file);
        }
    }

    Policy policy() {
        Path file = policyOption.getValue();
        if (file == null) {
            return Policy.defaults();
        }
        try {
            return Policy.load(file);
        } catch (SettingsException e) {
            throw e.inFile(file);
        }
    }
}
