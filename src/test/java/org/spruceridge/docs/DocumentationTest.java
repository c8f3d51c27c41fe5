package org.spruceridge.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The tests that the safety page names for each rule exist, and the types that other pages name exist. The test guards
 * against pages that still name a renamed or deleted test or type.
 */
final class DocumentationTest {
    /** The name of a test method: camel case with at least four words. No other text in the tables has this form. */
    private static final Pattern TEST_METHOD = Pattern.compile("(?<![\\w`.])[a-z]+(?:[A-Z][a-z0-9]*){3,}\\b(?![`.(])");

    private static final Pattern CODE_QUOTE = Pattern.compile("`([^`\\n]+)`");
    /** The name of a type, which has at least one lower-case letter. Names in capitals are constants. */
    private static final Pattern TYPE_NAME =
            Pattern.compile("(?:[a-z]+\\.)?[A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*\\b(?![-/ ])");

    private static final Pattern TYPE_DECLARATION = Pattern.compile("\\b(?:class|interface|record|enum) ([A-Z]\\w*)");

    private static final Pattern TEST_CLASS = Pattern.compile("\\b[A-Z]\\w+Test\\b");

    @Test
    void testsNamedInSafetyPageExist() throws IOException {
        String tables = String.join(
                "\n",
                Files.readAllLines(Path.of("docs/safety.md")).stream()
                        .filter(line -> line.startsWith("|"))
                        .toList());
        String sources = testSources();
        Set<String> testNames = matchesOf(TEST_METHOD, tables).collect(Collectors.toSet());
        Stream<String> missing = Stream.concat(
                testNames.stream().filter(name -> !sources.contains("void " + name + "(")),
                matchesOf(TEST_CLASS, tables).filter(name -> !sources.contains("class " + name + " ")));
        assertEquals(Set.of(), missing.collect(Collectors.toSet()));
        assertTrue(
                testNames.size() > 50,
                "the safety page must name more than 50 tests, but tests found: " + testNames.size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "docs/architecture.md",
                "docs/design.md",
                "docs/glossary.md",
                "docs/operations.md",
                "README.md",
                "CONTRIBUTING.md"
            })
    void typesNamedInPagesExist(String page) throws IOException {
        Set<String> types = declaredTypes();
        Set<String> missing = typesNamedIn(Files.readString(Path.of(page)))
                .filter(name -> !types.contains(name))
                .collect(Collectors.toSet());
        assertEquals(Set.of(), missing);
    }

    @Test
    void nonexistentTypeIsReported() throws IOException {
        Set<String> types = declaredTypes();
        assertTrue(types.containsAll(Set.of("Leader", "leader.Leader", "cluster.Binding", "DocumentationTest")));
        assertEquals(
                List.of("leader.Laeder", "NoSuchType"),
                typesNamedIn("`leader.Laeder` is called by `leader.Leader`, and `NoSuchType` by `cluster.Binding`")
                        .filter(name -> !types.contains(name))
                        .toList());
    }

    /**
     * Returns the names in code quotes of the form `Type` or `package.Type`. Text after the name is ignored, as in
     * `Type.method`.
     */
    private static Stream<String> typesNamedIn(String page) {
        return CODE_QUOTE
                .matcher(page)
                .results()
                .map(match -> TYPE_NAME.matcher(match.group(1)))
                .filter(Matcher::lookingAt)
                .map(Matcher::group);
    }

    /**
     * Returns the types that the sources declare, including nested types. Each type is listed by its simple name and by
     * its package and name.
     */
    private static Set<String> declaredTypes() throws IOException {
        Set<String> types = new HashSet<>();
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String packageName = file.getParent().getFileName().toString();
                TYPE_DECLARATION.matcher(Files.readString(file)).results().forEach(match -> {
                    types.add(match.group(1));
                    types.add(packageName + "." + match.group(1));
                });
            }
        }
        return types;
    }

    private static Stream<String> matchesOf(Pattern pattern, String text) {
        return pattern.matcher(text).results().map(match -> match.group());
    }

    private static String testSources() throws IOException {
        StringBuilder sources = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                sources.append(Files.readString(file));
            }
        }
        return sources.toString();
    }
}
