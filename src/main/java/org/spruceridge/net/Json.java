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

/** JSON bodies as trees, and typed access to their fields that throws {@link BadMessageException}. */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonFactory STRICT = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private Json() {}

    /** Parses a user's message; anything but one JSON object is refused, and so is one that names a field twice. */
    public static JsonNode strictObject(byte[] body) throws BadMessageException {
        return object(STRICT, body);
    }

    /** Parses a message of a component of the platform; anything but one JSON object is refused. */
    public static JsonNode object(byte[] body) throws BadMessageException {
        return object(FACTORY, body);
    }

    /** A streaming parser, for messages too frequent to build trees of them. */
    public static JsonParser parser(byte[] body) throws IOException {
        return FACTORY.createParser(body);
    }

    private static JsonNode object(JsonFactory factory, byte[] body) throws BadMessageException {
        try (JsonParser in = factory.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new BadMessageException("not an object");
            }
            JsonNode object = JsonTrees.read(in);
            if (in.nextToken() != null) {
                throw new BadMessageException("something follows the object");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw new BadMessageException("not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadMessageException("not JSON");
        }
    }

    /** The tree as UTF-8. */
    public static byte[] bytes(JsonNode node) {
        try (ByteArrayBuilder bytes = new ByteArrayBuilder()) {
            try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
                JsonTrees.write(node, out);
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An empty object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** An empty list. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** A field that holds a text. */
    public static String text(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isTextual()) {
            throw new BadMessageException(name + " is not a text");
        }
        return child.textValue();
    }

    /** A field that holds bytes as Base64. */
    public static byte[] bytes(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        try {
            byte[] bytes = child == null ? null : child.binaryValue();
            if (bytes != null) {
                return bytes;
            }
        } catch (IOException e) {
            // not Base64
        }
        throw new BadMessageException(name + " is not Base64");
    }

    /** A field that holds a text, or null if it is absent or null. */
    public static String textOrNull(JsonNode node, String name) throws BadMessageException {
        return node.hasNonNull(name) ? text(node, name) : null;
    }

    /** A field that holds a whole number of at least 0. */
    public static long nonNegativeLong(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isIntegralNumber() || !child.canConvertToLong() || child.longValue() < 0) {
            throw new BadMessageException(name + " is not a count");
        }
        return child.longValue();
    }

    /** A field that holds a finite number. */
    public static double number(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isNumber() || !Double.isFinite(child.doubleValue())) {
            throw new BadMessageException(name + " is not a number");
        }
        return child.doubleValue();
    }

    /** A field that holds true or false. */
    public static boolean bool(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isBoolean()) {
            throw new BadMessageException(name + " is not true or false");
        }
        return child.booleanValue();
    }

    /** A field that holds a list. */
    public static JsonNode list(JsonNode node, String name) throws BadMessageException {
        JsonNode child = node.get(name);
        if (child == null || !child.isArray()) {
            throw new BadMessageException(name + " is not a list");
        }
        return child;
    }
}
