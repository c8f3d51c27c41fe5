package org.spruceridge.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The tests that the safety page names for each rule exist, so that a renamed or dropped one is noticed. */
final class DocumentationTest {
    /** Names of test methods have at least four words; nothing else in the tables is written like that. */
    private static final Pattern METHOD = Pattern.compile("(?<![\\w`.])[a-z]+(?:[A-Z][a-z0-9]*){3,}\\b(?![`.(])");

    private static final Pattern TEST_CLASS = Pattern.compile("\\b[A-Z]\\w+Test\\b");

    @Test
    void everyTestThatTheSafetyPageNamesExists() throws IOException {
        String tables = String.join(
                "\n",
                Files.readAllLines(Path.of("docs/safety.md")).stream()
                        .filter(line -> line.startsWith("|"))
                        .toList());
        String sources = testSources();
        Set<String> named = names(METHOD, tables).collect(Collectors.toSet());
        Stream<String> missing = Stream.concat(
                named.stream().filter(name -> !sources.contains("void " + name + "(")),
                names(TEST_CLASS, tables).filter(name -> !sources.contains("class " + name + " ")));
        assertEquals(Set.of(), missing.collect(Collectors.toSet()));
        assertTrue(named.size() > 50, "names found: " + named.size());
    }

    private static Stream<String> names(Pattern pattern, String text) {
        return pattern.matcher(text).results().map(match -> match.group());
    }

    private static String testSources() throws IOException {
        StringBuilder all = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                all.append(Files.readString(file));
            }
        }
        return all.toString();
    }
}
