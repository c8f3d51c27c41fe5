package org.spruceridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import picocli.CommandLine.Model.OptionSpec;

/** The names of commands, options, the environment variable and the logging properties are exactly as expected. */
final class CommandLineNamesTest {
    private static final String LOGGING_PREFIX = "org.slf4j.simpleLogger.";

    private static final String SETTINGS =
            """
            {"host_name":"n0","domain":"a","serve_on":"127.0.0.1:1","peer_listen":"192.0.2.1:1","members":[],
             "endpoints":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},
             "facts":{"zones":["a"],"teams":[],"workers":{"report_s":3,"lease_s":22,"cancel_s":42},
              "state":{"rps":200,"write_rps":50,"value_kb":8,"txn_ops":24},"cloud":{"rps":6},
              "resources":{"core_share":1,"mem_mb":200,"max_sockets":100}}}
            """;

    private final Properties savedProperties = new Properties();

    @TempDir
    private Path folder;

    @BeforeEach
    void saveSystemProperties() {
        savedProperties.putAll(System.getProperties());
    }

    @AfterEach
    void restoreSystemProperties() {
        System.setProperties(savedProperties);
    }

    /**
     * Returns the options of a command. Each entry contains all names of the option in order, and marks a required
     * option.
     */
    private static Set<String> options(CommandLine command) {
        Set<String> options = new TreeSet<>();
        for (OptionSpec option : command.getCommandSpec().options()) {
            options.add(String.join(" ", option.names()) + (option.required() ? " (required)" : ""));
        }
        return options;
    }

    @Test
    void programHasExactlyExpectedCommandsAndOptions() {
        CommandLine program = Commands.commandLine();
        assertEquals("spruceridge", program.getCommandName());
        assertEquals(Set.of("-V --version", "-h --help"), options(program));
        Map<String, Set<String>> commands = new TreeMap<>();
        program.getSubcommands().forEach((name, command) -> commands.put(name, options(command)));
        Set<String> optionsWithFiles = Set.of("--config (required)", "--policy", "-V --version", "-h --help");
        assertEquals(
                Map.of(
                        "serve",
                        optionsWithFiles,
                        "check-config",
                        optionsWithFiles,
                        "rehearse",
                        Set.of("-V --version", "-h --help")),
                commands);
        program.getSubcommands().forEach((name, command) -> {
            assertEquals(name, command.getCommandName());
            assertEquals(List.of(), Arrays.asList(command.getCommandSpec().aliases()));
        });
    }

    @ParameterizedTest
    @CsvSource({", info", "debug, debug", "' DEBUG ', debug", "info, info", "error, error", "trace, info"})
    void requestedLevelSetsExactlyExpectedProperties(String requested, String level) {
        System.getProperties().keySet().removeIf(key -> key.toString().startsWith(LOGGING_PREFIX));
        Set<Object> initialProperties = Set.copyOf(System.getProperties().keySet());
        LogLevel.apply(requested);
        Map<Object, Object> added = new TreeMap<>(System.getProperties());
        added.keySet().removeAll(initialProperties);
        assertEquals(
                Map.of(
                        "org.slf4j.simpleLogger.defaultLogLevel", "error",
                        "org.slf4j.simpleLogger.log.org.spruceridge", level,
                        "org.slf4j.simpleLogger.showThreadName", "false",
                        "org.slf4j.simpleLogger.showShortLogName", "true",
                        "org.slf4j.simpleLogger.showDateTime", "true",
                        "org.slf4j.simpleLogger.logFile", "System.err"),
                added);
    }

    /**
     * Starts the program in a separate process. The process exits because its listen address for peers is not an
     * address of this host.
     */
    @ParameterizedTest
    @CsvSource({"info, 1", "error, 0"})
    void logLevelVariableControlsStartupLogging(String level, int expectedLineCount)
            throws IOException, InterruptedException {
        Path settings = Files.writeString(folder.resolve("settings.json"), SETTINGS);
        Path output = folder.resolve("errors");
        ProcessBuilder program = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "org.spruceridge.cli.Main",
                "serve",
                "--config",
                settings.toString());
        program.environment().put("LOG_LEVEL", level);
        Process process = program.redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
        assertEquals(
                expectedLineCount,
                Files.readString(output, StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.endsWith("INFO ServeCommand - controller starting node=n0 zone=a"))
                        .count());
    }
}
