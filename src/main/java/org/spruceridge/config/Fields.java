package org.spruceridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads the fields of one object of a settings file. Every error message contains the full path of the field and the
 * problem with its value.
 */
final class Fields {
    /** The maximum length of a value that error messages quote. They state the length of a longer value instead. */
    private static final int MAX_SHOWN_LENGTH = 100;

    private final JsonNode node;
    private final String path;

    private Fields(JsonNode node, String path) {
        this.node = node;
        this.path = path;
    }

    static Fields root(JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new SettingsException("the top level is not an object");
        }
        return new Fields(node, "");
    }

    Fields object(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isObject()) {
            throw value == null ? invalid(name, "is missing") : invalidValue(name, "must be an object");
        }
        return new Fields(value, path + name + ".");
    }

    /** True if the field is present and not null. */
    boolean has(String name) {
        return node.hasNonNull(name);
    }

    String string(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isTextual() || value.textValue().isBlank()) {
            throw value == null ? invalid(name, "is missing") : invalidValue(name, "must be a non-blank string");
        }
        return value.textValue();
    }

    String stringOr(String name, String defaultValue) {
        return has(name) ? string(name) : defaultValue;
    }

    double positive(String name) {
        double value = number(name);
        if (value <= 0) {
            throw invalidValue(name, "must be above 0");
        }
        return value;
    }

    double positiveOr(String name, double defaultValue) {
        return has(name) ? positive(name) : defaultValue;
    }

    double nonNegativeOr(String name, double defaultValue) {
        if (!has(name)) {
            return defaultValue;
        }
        double value = number(name);
        if (value < 0) {
            throw invalidValue(name, "must not be below 0");
        }
        return value;
    }

    int positiveInt(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
            throw value == null ? invalid(name, "is missing") : invalidValue(name, "must be an integer above 0");
        }
        return value.intValue();
    }

    Address address(String name) {
        String text = string(name);
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw invalidValue(name, "must be an address of the form host:port");
        }
    }

    ImmutableList<String> strings(String name) {
        JsonNode list = array(name);
        ImmutableList.Builder<String> strings = ImmutableList.builder();
        for (JsonNode item : list) {
            if (!item.isTextual()) {
                throw invalid(name, "must contain only strings, but contains " + describe(item));
            }
            strings.add(item.textValue());
        }
        return strings.build();
    }

    <T> ImmutableList<T> objects(String name, Function<Fields, T> reader) {
        JsonNode list = array(name);
        ImmutableList.Builder<T> objects = ImmutableList.builder();
        for (int i = 0; i < list.size(); i++) {
            if (!list.get(i).isObject()) {
                throw invalid(name + "[" + i + "]", "must be an object, but is " + describe(list.get(i)));
            }
            objects.add(reader.apply(new Fields(list.get(i), path + name + "[" + i + "].")));
        }
        return objects.build();
    }

    /**
     * Returns the name under which the file contains a renamed field: the former name if it is present, otherwise
     * {@code name}. Rejects the file if both names are present.
     */
    String usedName(String name, String formerName) {
        if (!node.has(formerName)) {
            return name;
        }
        if (node.has(name)) {
            throw invalid(name, "and " + path + formerName + " are names of the same field; only one may be given");
        }
        return formerName;
    }

    /** Rejects every field whose name is not in {@code known}. */
    void rejectUnknown(Set<String> known) {
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                throw invalid(name, "is not a known field");
            }
        });
    }

    /** Creates the error for a field. {@code problem} is a phrase that follows the field name in the message. */
    SettingsException invalid(String name, String problem) {
        return new SettingsException(path + name + " " + problem);
    }

    /**
     * Creates the error for a field that is present. In the message, the value of the field follows {@code
     * requirement}.
     */
    SettingsException invalidValue(String name, String requirement) {
        return invalid(name, requirement + ", but is " + describe(node.get(name)));
    }

    /**
     * Describes a value in an error message. Arrays and objects are described by their type, values over the maximum
     * length by their length. Other values are repeated.
     */
    private static String describe(JsonNode value) {
        if (value.isContainerNode()) {
            return value.isArray() ? "an array" : "an object";
        }
        String text = value.asText();
        if (text.length() > MAX_SHOWN_LENGTH) {
            return "a " + (value.isTextual() ? "string" : "value") + " of " + text.length() + " characters";
        }
        return value.isTextual() ? value.toString() : text; // toString quotes strings and escapes line ends
    }

    private JsonNode array(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isArray()) {
            throw value == null ? invalid(name, "is missing") : invalidValue(name, "must be an array");
        }
        return value;
    }

    private double number(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw value == null ? invalid(name, "is missing") : invalidValue(name, "must be a number");
        }
        return value.doubleValue();
    }
}
