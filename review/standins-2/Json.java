import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Objects are maps, arrays lists, whole numbers longs, other numbers doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("more text after the document");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static long number(Map<String, Object> map, String key, long other) {
        return map.get(key) instanceof Number n ? n.longValue() : other;
    }

    static String text(Map<String, Object> map, String key) {
        return map.get(key) instanceof String s ? s : "";
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> e : map.entrySet()) {
                out.append(separator);
                write(out, e.getKey());
                out.append(':');
                write(out, e.getValue());
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(out, list.get(i));
            }
            out.append(']');
        } else if (value instanceof String s) {
            out.append('"');
            for (char c : s.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private boolean skip(char c) {
        space();
        if (at >= text.length() || text.charAt(at) != c) return false;
        at++;
        return true;
    }

    private void need(char c) {
        if (!skip(c)) throw new IllegalArgumentException("no " + c + " at " + at);
    }

    private Object value() {
        if (skip('{')) {
            Map<String, Object> map = new LinkedHashMap<>();
            if (skip('}')) return map;
            do {
                need('"');
                String key = string();
                need(':');
                map.put(key, value());
            } while (skip(','));
            need('}');
            return map;
        }
        if (skip('[')) {
            List<Object> list = new ArrayList<>();
            if (skip(']')) return list;
            do list.add(value()); while (skip(','));
            need(']');
            return list;
        }
        if (skip('"')) return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(e);
            }
        }
    }
}
