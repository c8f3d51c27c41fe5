package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, integers are longs, other numbers are doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) {
            throw new IllegalArgumentException("data after the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** An object from alternating names and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> out = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            out.put((String) pairs[i], pairs[i + 1]);
        }
        return out;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static long num(Map<String, Object> object, String name, long otherwise) {
        return object.get(name) instanceof Number number ? number.longValue() : otherwise;
    }

    static double real(Map<String, Object> object, String name) {
        return ((Number) object.get(name)).doubleValue();
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        switch (c) {
            case '{': {
                Map<String, Object> out = new LinkedHashMap<>();
                at++;
                space();
                while (text.charAt(at) != '}') {
                    space();
                    String name = string();
                    space();
                    at++; // the colon
                    out.put(name, value());
                    space();
                    if (text.charAt(at) == ',') {
                        at++;
                        space();
                    }
                }
                at++;
                return out;
            }
            case '[': {
                List<Object> out = new ArrayList<>();
                at++;
                space();
                while (text.charAt(at) != ']') {
                    out.add(value());
                    space();
                    if (text.charAt(at) == ',') {
                        at++;
                        space();
                    }
                }
                at++;
                return out;
            }
            case '"':
                return string();
            case 't':
                at += 4;
                return true;
            case 'f':
                at += 5;
                return false;
            case 'n':
                at += 4;
                return null;
            default: {
                int from = at;
                while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
                    at++;
                }
                String number = text.substring(from, at);
                if (number.isEmpty()) {
                    throw new IllegalArgumentException("unexpected character in JSON at " + at);
                }
                return number.matches("-?\\d+") ? (Object) Long.parseLong(number) : (Object) Double.parseDouble(number);
            }
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < 0x20) {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
