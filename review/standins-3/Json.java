import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json j = new Json(text);
        Object value = j.value();
        j.space();
        if (j.at != text.length()) throw new IllegalArgumentException("trailing text at " + j.at);
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Map of alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static long number(Map<String, Object> map, String key, long otherwise) {
        return map.get(key) instanceof Number n ? n.longValue() : otherwise;
    }

    static String string(Map<String, Object> map, String key) {
        return map.get(key) instanceof String s ? s : "";
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> rows(Map<String, Object> map, String key) {
        return map.get(key) instanceof List<?> l ? (List<Map<String, Object>>) l : List.of();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String comma = "{";
            for (Map.Entry<?, ?> e : map.entrySet()) {
                out.append(comma);
                write(e.getKey(), out);
                out.append(':');
                write(e.getValue(), out);
                comma = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(list.get(i), out);
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

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]}\n\r\t ".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String key = string();
            space();
            at++;
            map.put(key, value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            list.add(value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return list;
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

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
