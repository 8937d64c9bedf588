import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, numbers are Long or Double. */
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
        if (j.at != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static long number(Map<String, Object> o, String key, long fallback) {
        return o.get(key) instanceof Number n ? n.longValue() : fallback;
    }

    static String text(Map<String, Object> o, String key) {
        return o.get(key) instanceof String s ? s : "";
    }

    /** Builds an object from alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> o = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) o.put((String) pairs[i], pairs[i + 1]);
        return o;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof String s) {
            quote(s, out);
        } else if (value instanceof Map<?, ?> m) {
            String separator = "{";
            if (m.isEmpty()) out.append('{');
            for (Map.Entry<?, ?> e : m.entrySet()) {
                out.append(separator);
                quote((String) e.getKey(), out);
                out.append(':');
                write(e.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> l) {
            out.append('[');
            for (int i = 0; i < l.size(); i++) {
                if (i > 0) out.append(',');
                write(l.get(i), out);
            }
            out.append(']');
        } else {
            out.append(value);
        }
    }

    private static void quote(String s, StringBuilder out) {
        out.append('"');
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        switch (c) {
            case '{': {
                Map<String, Object> o = new LinkedHashMap<>();
                at++;
                space();
                while (text.charAt(at) != '}') {
                    space();
                    String key = string();
                    space();
                    at++; // the colon
                    o.put(key, value());
                    space();
                    if (text.charAt(at) == ',') at++;
                    space();
                }
                at++;
                return o;
            }
            case '[': {
                List<Object> l = new ArrayList<>();
                at++;
                space();
                while (text.charAt(at) != ']') {
                    l.add(value());
                    space();
                    if (text.charAt(at) == ',') at++;
                    space();
                }
                at++;
                return l;
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
                while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
                String n = text.substring(from, at);
                if (n.chars().allMatch(d -> d == '-' || d >= '0' && d <= '9')) return Long.parseLong(n);
                return Double.parseDouble(n);
            }
        }
    }

    private String string() {
        StringBuilder s = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                s.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> s.append('\n');
                case 't' -> s.append('\t');
                case 'r' -> s.append('\r');
                case 'b' -> s.append('\b');
                case 'f' -> s.append('\f');
                case 'u' -> {
                    s.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> s.append(e);
            }
        }
        at++;
        return s.toString();
    }
}
