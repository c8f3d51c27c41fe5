package org.spruceridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Set;
import java.util.function.Function;

/** Reads the fields of one object of a settings file. Every error names the field with its path. */
final class Fields {
    private final JsonNode node;
    private final String path;

    private Fields(JsonNode node, String path) {
        this.node = node;
        this.path = path;
    }

    static Fields root(JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new SettingsException("the file does not hold an object");
        }
        return new Fields(node, "");
    }

    Fields object(String name) {
        JsonNode child = node.get(name);
        if (child == null || !child.isObject()) {
            throw invalid(name, child == null ? "is missing" : "is not an object");
        }
        return new Fields(child, path + name + ".");
    }

    /** True if the field is given and not null. */
    boolean has(String name) {
        return node.hasNonNull(name);
    }

    String text(String name) {
        JsonNode child = node.get(name);
        if (child == null || !child.isTextual() || child.textValue().isBlank()) {
            throw invalid(name, child == null ? "is missing" : "is not a text");
        }
        return child.textValue();
    }

    String textOr(String name, String fallback) {
        return has(name) ? text(name) : fallback;
    }

    double positive(String name) {
        double value = number(name);
        if (value <= 0) {
            throw invalid(name, "must be above 0");
        }
        return value;
    }

    double positiveOr(String name, double fallback) {
        return has(name) ? positive(name) : fallback;
    }

    double atLeastZeroOr(String name, double fallback) {
        if (!has(name)) {
            return fallback;
        }
        double value = number(name);
        if (value < 0) {
            throw invalid(name, "must not be below 0");
        }
        return value;
    }

    int positiveCount(String name) {
        JsonNode child = node.get(name);
        if (child == null || !child.isIntegralNumber() || !child.canConvertToInt() || child.intValue() < 1) {
            throw invalid(name, child == null ? "is missing" : "must be a whole number above 0");
        }
        return child.intValue();
    }

    Address address(String name) {
        String text = text(name);
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw invalid(name, "is not an address of the form host:port: " + text);
        }
    }

    ImmutableList<String> texts(String name) {
        JsonNode child = array(name);
        ImmutableList.Builder<String> out = ImmutableList.builder();
        for (JsonNode item : child) {
            if (!item.isTextual()) {
                throw invalid(name, "must hold texts only");
            }
            out.add(item.textValue());
        }
        return out.build();
    }

    <T> ImmutableList<T> objects(String name, Function<Fields, T> reader) {
        JsonNode child = array(name);
        ImmutableList.Builder<T> out = ImmutableList.builder();
        for (int i = 0; i < child.size(); i++) {
            if (!child.get(i).isObject()) {
                throw invalid(name + "[" + i + "]", "is not an object");
            }
            out.add(reader.apply(new Fields(child.get(i), path + name + "[" + i + "].")));
        }
        return out.build();
    }

    /**
     * The name under which a renamed field is given in the file: its name, or its former name. Both at once are an error.
     */
    String givenName(String name, String formerName) {
        if (!node.has(formerName)) {
            return name;
        }
        if (node.has(name)) {
            throw invalid(name, "and " + path + formerName + " are names of the same field; only one may be given");
        }
        return formerName;
    }

    /** Refuses every field that is not among the known ones. */
    void rejectUnknown(Set<String> known) {
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                throw invalid(name, "is not a known field");
            }
        });
    }

    /** The error for a field; {@code problem} continues a sentence that begins with its name. */
    SettingsException invalid(String name, String problem) {
        return new SettingsException(path + name + " " + problem);
    }

    private JsonNode array(String name) {
        JsonNode child = node.get(name);
        if (child == null || !child.isArray()) {
            throw invalid(name, child == null ? "is missing" : "is not a list");
        }
        return child;
    }

    private double number(String name) {
        JsonNode child = node.get(name);
        if (child == null || !child.isNumber() || !Double.isFinite(child.doubleValue())) {
            throw invalid(name, child == null ? "is missing" : "is not a number");
        }
        return child.doubleValue();
    }
}
