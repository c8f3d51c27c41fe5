package org.spruceridge.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The sources use the terms of docs/glossary.md: no identifier and no log text contains a withdrawn word. */
final class VocabularyTest {
    private static final Path GLOSSARY = Path.of("docs/glossary.md");
    private static final String WITHDRAWN_HEADING = "## Withdrawn words";
    private static final int MIN_WITHDRAWN_WORDS = 30;

    /** Text blocks, string and character literals, and comments. */
    private static final Pattern NOT_CODE = Pattern.compile(
            "\"\"\".*?\"\"\"|\"(?:\\\\.|[^\"\\\\\n])*\"|'(?:\\\\.|[^'\\\\\n])*'|//[^\n]*|/\\*.*?\\*/", Pattern.DOTALL);

    /** The clause of sealed types. Its keyword is a withdrawn word. */
    private static final String PERMITS_CLAUSE = "\\bpermits(?= [A-Z])";

    /**
     * The name of a constant that is a phrase, such as CEILING_OF_X. Such a name states neither what the constant is
     * nor its unit.
     */
    private static final Pattern PHRASE_CONSTANT = Pattern.compile("[A-Z0-9_]+_OF_[A-Z0-9_]+");

    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z_$][\\w$]*");

    /** A complete log statement. Operators read the string literals in it. */
    private static final Pattern LOG_STATEMENT = Pattern.compile(
            "\\b(?:LOG\\.(?:error|warn|info|debug)|warnings\\.warn)\\((?:\"(?:\\\\.|[^\"\\\\])*\"|[^;\"])*;");

    private static final Pattern STRING = Pattern.compile("\"((?:\\\\.|[^\"\\\\\n])*)\"");

    private final Pattern withdrawnWord = Pattern.compile("\\b(" + String.join("|", withdrawnWords()) + ")s?\\b");

    @Test
    void sourcesContainNoWithdrawnWord() throws IOException {
        List<String> violations = new ArrayList<>();
        // This test contains withdrawn words as examples and is excluded.
        String ownName = VocabularyTest.class.getSimpleName() + ".java";
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java") && !path.endsWith(ownName))
                    .sorted()
                    .toList()) {
                for (String violation : violations(Files.readString(file))) {
                    violations.add(file.getFileName() + ": " + violation);
                }
            }
        }
        assertEquals(List.of(), violations);
    }

    @Test
    void withdrawnWordInIdentifierIsReportedInAnyCase() {
        assertEquals(List.of("grant in endGrant"), violations("void endGrant() {}"));
        assertEquals(List.of("grant in LAST_GRANTS"), violations("int LAST_GRANTS = 1;"));
        assertEquals(List.of("hold back in holdBackUntil"), violations("long holdBackUntil;"));
        assertEquals(List.of("takeover in TakeoverTest"), violations("class TakeoverTest {}"));
        assertEquals(List.of("phrase in STAY_OF_TERM"), violations("double STAY_OF_TERM = 10;"));
    }

    @Test
    void withdrawnWordInLogTextIsReported() {
        assertEquals(
                List.of("cut off in \"node cut off node={}\""),
                violations("LOG.info(\n    \"node cut off node={}\", name);"));
        assertEquals(List.of("grant in \"lost its grant\""), violations("warnings.warn(\"lost its grant\", key);"));
    }

    @Test
    void withdrawnWordsInWireNamesAndCommentsAreAllowed() {
        assertEquals(List.of(), violations("out.put(\"warrant\", fencingToken); // the grant of the protocol"));
        assertEquals(List.of(), violations("/** A permit, on the wire. */ long leaseId;"));
        assertEquals(List.of(), violations("sealed interface Step permits Run, Wait {}"));
        assertEquals(List.of(), violations("String s = \"\"\"\n    patience: 5\n    \"\"\";"));
        assertEquals(List.of(), violations("char c = '\"'; int immigrants; // not a word of its own"));
    }

    private List<String> violations(String source) {
        String code = NOT_CODE.matcher(source)
                .replaceAll(match -> match.group().startsWith("/") ? " " : "\"\"")
                .replaceAll(PERMITS_CLAUSE, "");
        Stream<String> inIdentifiers = IDENTIFIER
                .matcher(code)
                .results()
                .map(MatchResult::group)
                .distinct()
                .flatMap(identifier -> withdrawnWordsIn(words(identifier)).map(word -> word + " in " + identifier));
        Stream<String> inLogTexts = LOG_STATEMENT
                .matcher(source)
                .results()
                .flatMap(statement -> STRING.matcher(statement.group()).results())
                .flatMap(text -> withdrawnWordsIn(text.group(1).toLowerCase(Locale.ROOT))
                        .map(word -> word + " in " + text.group()));
        Stream<String> phraseConstants = IDENTIFIER
                .matcher(code)
                .results()
                .map(MatchResult::group)
                .distinct()
                .filter(identifier -> PHRASE_CONSTANT.matcher(identifier).matches())
                .map(identifier -> "phrase in " + identifier);
        return Stream.of(inIdentifiers, inLogTexts, phraseConstants)
                .flatMap(stream -> stream)
                .toList();
    }

    private Stream<String> withdrawnWordsIn(String text) {
        return withdrawnWord.matcher(text).results().map(match -> match.group(1));
    }

    /**
     * Returns the words of an identifier in lower case, separated by blanks. The identifier is in camel case or upper
     * case.
     */
    private static String words(String identifier) {
        return identifier
                .replace('_', ' ')
                .replaceAll("(?<=[a-z0-9])(?=[A-Z])", " ")
                .toLowerCase(Locale.ROOT);
    }

    private static List<String> withdrawnWords() {
        String glossary;
        try {
            glossary = Files.readString(GLOSSARY);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        String table = glossary.substring(glossary.indexOf(WITHDRAWN_HEADING));
        List<String> words = table.lines()
                .filter(line -> line.startsWith("| ") && !line.startsWith("| withdrawn"))
                .map(line -> line.split("\\|", -1)[1].strip())
                .toList();
        assertTrue(
                words.size() >= MIN_WITHDRAWN_WORDS,
                "the glossary must list at least 30 withdrawn words, but words found: " + words);
        return words;
    }
}
