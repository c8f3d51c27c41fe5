package org.spruceridge.net;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Builds trees from Jackson's parser and writes them to its generator. ObjectMapper does the same, but its construction
 * takes 50 ms of CPU time to prepare for dates, types and annotations, none of which are used here. On the smallest
 * machine, these 50 ms of CPU time prolong the startup by most of a second.
 */
final class JsonTrees {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /**
     * Reads the value that starts at the current token. Afterwards the current token is the last token of the value.
     */
    static JsonNode read(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = NODES.objectNode();
                for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
                    parser.nextToken();
                    object.set(field, read(parser));
                }
                yield object;
            }
            case START_ARRAY -> {
                ArrayNode array = NODES.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(read(parser));
                }
                yield array;
            }
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> switch (parser.getNumberType()) {
                case INT -> NODES.numberNode(parser.getIntValue());
                case LONG -> NODES.numberNode(parser.getLongValue());
                default -> NODES.numberNode(parser.getBigIntegerValue());
            };
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    static void write(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (var field : node.properties()) {
                    generator.writeFieldName(field.getKey());
                    write(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode item : node) {
                    write(item, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(node.textValue());
            case BINARY -> generator.writeBinary(node.binaryValue());
            case NUMBER -> writeNumber(node, generator);
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            default -> generator.writeNull();
        }
    }

    private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.numberType()) {
            case INT, LONG -> generator.writeNumber(node.longValue());
            case BIG_INTEGER -> generator.writeNumber(node.bigIntegerValue());
            default -> generator.writeNumber(node.doubleValue());
        }
    }
}
