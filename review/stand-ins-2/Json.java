import java.util.*;

/** Reads JSON into maps, lists, strings, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) { this.text = text; }

    static Object parse(String text) { return new Json(text).value(); }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) { return (Map<String, Object>) value; }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) { return value == null ? List.of() : (List<Object>) value; }

    static int integer(Object value) { return ((Double) value).intValue(); }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                if (next() == ',') { at++; continue; }
                String key = (String) value();
                next();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (next() != ']') {
                if (next() == ',') { at++; continue; }
                list.add(value());
            }
            at++;
            return list;
        }
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') { out.append(c); continue; }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'u' -> { out.append((char) Integer.parseInt(text.substring(at, at + 4), 16)); at += 4; }
                default -> out.append(e);
            }
        }
        at++;
        return out.toString();
    }

    static String quote(String s) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            if (c < 0x20 || c == 0x7f) out.append(String.format("\\u%04x", (int) c));
            else out.append(c == 0x22 || c == 0x5c ? "\\" + c : String.valueOf(c));
        }
        return out.append((char) 0x22).toString();
    }
}
