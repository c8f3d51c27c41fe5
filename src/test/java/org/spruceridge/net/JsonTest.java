package org.spruceridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Writing a parsed tree yields the original text, and input other than a single JSON object is rejected. */
final class JsonTest {
    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"a\":[],\"b\":{},\"c\":null,\"d\":true,\"e\":false}",
                "{\"n\":[0,-1,2147483648,9223372036854775807,18446744073709551615,0.5,-1.0E-7,1.0E300]}",
                "{\"t\":[\"\",\"j-000001/3\",\"\\\"\\\\\\n\",\"\u00e5\u4e2d\"],\"deep\":[[[{\"x\":[1]}]]]}"
            })
    void treeRoundTripYieldsIdenticalText(String text) throws BadMessageException {
        assertEquals(text, new String(Json.bytes(Json.object(utf8(text))), StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "null",
                "1",
                "\"a\"",
                "[]",
                "{",
                "{\"a\"}",
                "{\"a\":1,}",
                "{} {}",
                "{\"a\":1}x",
                "{\"a\":01}"
            })
    void bodyOtherThanOneObjectIsRejected(String text) {
        assertThrows(BadMessageException.class, () -> Json.object(utf8(text)));
    }

    @ParameterizedTest
    @CsvSource({"[], not a JSON object", "{} {}, unexpected data after the JSON object"})
    void rejectionOfInputOtherThanOneObjectNamesTheProblem(String text, String message) {
        assertEquals(
                message,
                assertThrows(BadMessageException.class, () -> Json.object(utf8(text)))
                        .getMessage());
    }

    @Test
    void rejectionOfInvalidJsonNamesTheProblem() {
        assertEquals(
                "invalid JSON: Unexpected character ('a' (code 97)): was expecting double-quote to start field name",
                assertThrows(BadMessageException.class, () -> Json.object(utf8("{a}")))
                        .getMessage());
    }

    /** Jackson reports invalid UTF-32 by an exception that does not extend its exception for invalid JSON. */
    @Test
    void rejectionOfInvalidEncodingNamesTheProblem() {
        byte[] invalidUtf32 = {0, 0, 0, '{', 0x7f, 0x7f, 0x7f, 0x7f};
        assertEquals(
                "invalid JSON",
                assertThrows(BadMessageException.class, () -> Json.object(invalidUtf32))
                        .getMessage());
    }

    @Test
    void rejectionOfFieldNamesTheFieldAndTheExpectedType() throws BadMessageException {
        JsonNode node = Json.object(utf8("{\"a\":{}}"));
        assertFieldRejected("a is not a string", () -> Json.text(node, "a"));
        assertFieldRejected("a is not Base64", () -> Json.bytes(node, "a"));
        assertFieldRejected("a is not a string", () -> Json.textOrNull(node, "a"));
        assertFieldRejected("a is not a non-negative integer", () -> Json.nonNegativeLong(node, "a"));
        assertFieldRejected("a is not a number", () -> Json.number(node, "a"));
        assertFieldRejected("a is not true or false", () -> Json.bool(node, "a"));
        assertFieldRejected("a is not an array", () -> Json.list(node, "a"));
    }

    private static void assertFieldRejected(String message, Executable read) {
        assertEquals(message, assertThrows(BadMessageException.class, read).getMessage());
    }

    /** Deep nesting must cause a {@link BadMessageException}, not a stack overflow. */
    @Test
    void deeplyNestedBodyIsRejectedAsBadMessage() {
        byte[] deep = utf8("{\"a\":" + "[".repeat(30_000) + "]".repeat(30_000) + "}");
        assertThrows(BadMessageException.class, () -> Json.object(deep));
    }

    @Test
    void duplicateFieldIsRejectedOnlyInStrictMode() throws BadMessageException {
        byte[] duplicateField = utf8("{\"a\":1,\"a\":2}");
        assertThrows(BadMessageException.class, () -> Json.strictObject(duplicateField));
        assertEquals(2, Json.object(duplicateField).path("a").asInt());
    }
}
