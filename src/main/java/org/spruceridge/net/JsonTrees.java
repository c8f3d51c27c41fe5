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
 * Builds trees from Jackson's parser and writes them to its generator. ObjectMapper does the same, and takes 50 ms of
 * processor time to construct, for dates, types and annotations that are not used here: most of a second of the start-up
 * time on the smallest machine.
 */
final class JsonTrees {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Reads the value at which the parser stands; it stands at its last token afterwards. */
    static JsonNode read(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = NODES.objectNode();
                for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
                    in.nextToken();
                    object.set(field, read(in));
                }
                yield object;
            }
            case START_ARRAY -> {
                ArrayNode array = NODES.arrayNode();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    array.add(read(in));
                }
                yield array;
            }
            case VALUE_STRING -> NODES.textNode(in.getText());
            case VALUE_NUMBER_INT -> switch (in.getNumberType()) {
                case INT -> NODES.numberNode(in.getIntValue());
                case LONG -> NODES.numberNode(in.getLongValue());
                default -> NODES.numberNode(in.getBigIntegerValue());
            };
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(in.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    static void write(JsonNode node, JsonGenerator out) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                out.writeStartObject();
                for (var field : node.properties()) {
                    out.writeFieldName(field.getKey());
                    write(field.getValue(), out);
                }
                out.writeEndObject();
            }
            case ARRAY -> {
                out.writeStartArray();
                for (JsonNode item : node) {
                    write(item, out);
                }
                out.writeEndArray();
            }
            case STRING -> out.writeString(node.textValue());
            case BINARY -> out.writeBinary(node.binaryValue());
            case NUMBER -> writeNumber(node, out);
            case BOOLEAN -> out.writeBoolean(node.booleanValue());
            default -> out.writeNull();
        }
    }

    private static void writeNumber(JsonNode node, JsonGenerator out) throws IOException {
        switch (node.numberType()) {
            case INT, LONG -> out.writeNumber(node.longValue());
            case BIG_INTEGER -> out.writeNumber(node.bigIntegerValue());
            default -> out.writeNumber(node.doubleValue());
        }
    }
}
