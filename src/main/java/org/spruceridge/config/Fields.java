package org.spruceridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Set;
import java.util.function.Function;

/** Reads the fields of one object of a settings file. Every error names the field with its full path. */
final class Fields {
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
            throw invalid(name, value == null ? "is missing" : "is not an object");
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
            throw invalid(name, value == null ? "is missing" : "must be a non-blank string");
        }
        return value.textValue();
    }

    String stringOr(String name, String defaultValue) {
        return has(name) ? string(name) : defaultValue;
    }

    double positive(String name) {
        double value = number(name);
        if (value <= 0) {
            throw invalid(name, "must be above 0");
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
            throw invalid(name, "must not be below 0");
        }
        return value;
    }

    int positiveInt(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
            throw invalid(name, value == null ? "is missing" : "must be an integer above 0");
        }
        return value.intValue();
    }

    Address address(String name) {
        String text = string(name);
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw invalid(name, "is not an address of the form host:port: " + text);
        }
    }

    ImmutableList<String> strings(String name) {
        JsonNode list = array(name);
        ImmutableList.Builder<String> strings = ImmutableList.builder();
        for (JsonNode item : list) {
            if (!item.isTextual()) {
                throw invalid(name, "must contain only strings");
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
                throw invalid(name + "[" + i + "]", "is not an object");
            }
            objects.add(reader.apply(new Fields(list.get(i), path + name + "[" + i + "].")));
        }
        return objects.build();
    }

    /**
     * The name that the file uses for a renamed field: its former name if that is present, otherwise {@code name}. It
     * is an error if both are present.
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

    /** The error for a field; {@code problem} is a phrase that follows the field name in the message. */
    SettingsException invalid(String name, String problem) {
        return new SettingsException(path + name + " " + problem);
    }

    private JsonNode array(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isArray()) {
            throw invalid(name, value == null ? "is missing" : "is not an array");
        }
        return value;
    }

    private double number(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw invalid(name, value == null ? "is missing" : "is not a number");
        }
        return value.doubleValue();
    }
}
