import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Objects are maps, arrays are lists, integers are longs, other numbers doubles. */
final class Json {
    private final String text;
    private int pos;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.pos != text.length()) {
            throw new IllegalArgumentException("data after the value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return (List<Object>) value;
    }

    static long num(Object value) {
        return ((Number) value).longValue();
    }

    static double dbl(Object value) {
        return ((Number) value).doubleValue();
    }

    /** A map from alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
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
        } else if (value instanceof Iterable<?> items) {
            out.append('[');
            String separator = "";
            for (Object item : items) {
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
                } else if (c < ' ') {
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

    private void space() {
        while (pos < text.length() && Character.isWhitespace(text.charAt(pos))) {
            pos++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(pos);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            pos++;
            space();
            while (text.charAt(pos) != '}') {
                space();
                String key = string();
                space();
                expect(':');
                map.put(key, value());
                space();
                if (text.charAt(pos) == ',') {
                    pos++;
                }
            }
            pos++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            pos++;
            space();
            while (text.charAt(pos) != ']') {
                list.add(value());
                space();
                if (text.charAt(pos) == ',') {
                    pos++;
                }
            }
            pos++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = pos;
        while (pos < text.length() && ",]} \t\r\n".indexOf(text.charAt(pos)) < 0) {
            pos++;
        }
        String word = text.substring(start, pos);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private void expect(char c) {
        if (text.charAt(pos++) != c) {
            throw new IllegalArgumentException("expected " + c + " at " + (pos - 1));
        }
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(pos++);
            if (c == '"') {
                return out.toString();
            }
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(pos++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(pos, pos + 4), 16));
                    pos += 4;
                }
                default -> out.append(escaped);
            }
        }
    }
}
