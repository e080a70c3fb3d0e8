import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages with a length, in chunks, or (for answers) up to the end of the connection. */
final class Http {

    /** A message; names of headers are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private Http() {}

    /** Reads a head; returns null at the end of the stream before its first byte. */
    static Message head(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(start, headers, new byte[0]);
    }

    /** Reads a whole message; throws {@link EOFException} where it is cut off. */
    static Message message(InputStream in, boolean answer) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        byte[] body;
        if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in, false).trim(), 16);
                    size > 0;
                    size = Integer.parseInt(line(in, false).trim(), 16)) {
                all.write(exactly(in, size));
                line(in, false);
            }
            line(in, false);
            body = all.toByteArray();
        } else if (!head.header("content-length").isEmpty()) {
            body = exactly(in, Integer.parseInt(head.header("content-length")));
        } else {
            body = answer ? in.readAllBytes() : new byte[0];
        }
        return new Message(head.startLine(), head.headers(), body);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (first && line.size() == 0) {
                    return null;
                }
                throw new EOFException("head is cut off");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.US_ASCII);
    }
}
