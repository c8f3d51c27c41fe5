package org.spruceridge.cli;

import java.nio.file.Path;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.config.SettingsException;
import picocli.CommandLine.Option;

/** The two settings files that commands take. */
final class SettingsFiles {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings, JSON")
    private Path config;

    @Option(names = "--policy", paramLabel = "FILE", description = "the operators' own settings, YAML")
    private Path policy;

    Settings settings() {
        try {
            return Settings.load(config);
        } catch (SettingsException e) {
            throw new SettingsException(config + ": " + e.getMessage());
        }
    }

    Policy policy() {
        if (policy == null) {
            return Policy.defaults();
        }
        try {
            return Policy.load(policy);
        } catch (SettingsException e) {
            throw new SettingsException(policy + ": " + e.getMessage());
        }
    }
}
