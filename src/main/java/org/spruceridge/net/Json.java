package org.spruceridge.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Reads and writes JSON bodies as trees. The typed field accessors throw {@link BadMessageException} if the field is
 * missing or has another type.
 */
public final class Json {
    private static final JsonFactory DEFAULT_FACTORY = new JsonFactory();
    private static final JsonFactory STRICT_FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private Json() {}

    /**
     * Parses a user's message. Rejects a body that is not a single JSON object, and an object with duplicate fields.
     */
    public static JsonNode strictObject(byte[] body) throws BadMessageException {
        return object(STRICT_FACTORY, body);
    }

    /** Parses a message from a component of the platform. Rejects a body that is not a single JSON object. */
    public static JsonNode object(byte[] body) throws BadMessageException {
        return object(DEFAULT_FACTORY, body);
    }

    /** A streaming parser, for messages that are too frequent to build trees from. */
    public static JsonParser parser(byte[] body) throws IOException {
        return DEFAULT_FACTORY.createParser(body);
    }

    private static JsonNode object(JsonFactory factory, byte[] body) throws BadMessageException {
        try (JsonParser parser = factory.createParser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new BadMessageException("not a JSON object");
            }
            JsonNode object = JsonTrees.read(parser);
            if (parser.nextToken() != null) {
                throw new BadMessageException("unexpected data after the JSON object");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw new BadMessageException("invalid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadMessageException("invalid JSON");
        }
    }

    /** The tree as JSON text, encoded in UTF-8. */
    public static byte[] bytes(JsonNode node) {
        try (ByteArrayBuilder buffer = new ByteArrayBuilder()) {
            try (JsonGenerator generator = DEFAULT_FACTORY.createGenerator(buffer)) {
                JsonTrees.write(node, generator);
            }
            return buffer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An empty object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** An empty array. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Reads a field whose value is a string. */
    public static String text(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isTextual()) {
            throw new BadMessageException(name + " is not a string");
        }
        return child.textValue();
    }

    /** Reads a field whose value is a Base64 string, and returns the decoded bytes. */
    public static byte[] bytes(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        try {
            byte[] decoded = child == null ? null : child.binaryValue();
            if (decoded != null) {
                return decoded;
            }
        } catch (IOException e) {
            // reported below
        }
        throw new BadMessageException(name + " is not Base64");
    }

    /** Reads a field whose value is a string; returns null if it is absent or null. */
    public static String textOrNull(JsonNode node, String name) throws BadMessageException {
        return node.hasNonNull(name) ? text(node, name) : null;
    }

    /** Reads a field whose value is an integer of at least 0. */
    public static long nonNegativeLong(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isIntegralNumber() || !child.canConvertToLong() || child.longValue() < 0) {
            throw new BadMessageException(name + " is not a non-negative integer");
        }
        return child.longValue();
    }

    /** Reads a field whose value is a finite number. */
    public static double number(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isNumber() || !Double.isFinite(child.doubleValue())) {
            throw new BadMessageException(name + " is not a number");
        }
        return child.doubleValue();
    }

    /** Reads a field whose value is true or false. */
    public static boolean bool(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isBoolean()) {
            throw new BadMessageException(name + " is not true or false");
        }
        return child.booleanValue();
    }

    /** Reads a field whose value is an array. */
    public static JsonNode list(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isArray()) {
            throw new BadMessageException(name + " is not an array");
        }
        return child;
    }
}
