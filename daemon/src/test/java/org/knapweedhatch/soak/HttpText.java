package org.knapweedhatch.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message with a Content-Length.
 *
 * @param start first line
 * @param headers headers by lower-case name
 */
record HttpText(String start, Map<String, String> headers) {

    /** Reads a message and skips its body; null at the end of the stream before its first byte. */
    static HttpText read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !"".equals(line); line = line(in)) {
            if (line == null) {
                throw new EOFException("the head is cut off");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        HttpText message = new HttpText(start, headers);
        in.skipNBytes(Long.parseLong(headers.getOrDefault("content-length", "0")));
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new EOFException("a line is cut off");
                }
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String path() {
        return start.split(" ")[1];
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    boolean closes() {
        return header("Connection").equalsIgnoreCase("close");
    }

    /** Returns the number that a query such as {@code ?work=20} gives a name. */
    static long parameter(String path, String name, long otherwise) {
        int at = path.indexOf(name + "=");
        return at < 0
                ? otherwise
                : Long.parseLong(path.substring(at + name.length() + 1).split("&")[0]);
    }
}
