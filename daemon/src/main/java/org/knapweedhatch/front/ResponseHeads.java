package org.knapweedhatch.front;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;
import org.knapweedhatch.message.HeaderScheme;

/**
 * Recognizes a response head that the decoder has put together from two.
 *
 * <p>If a target breaks off a head and then sends another response on the same connection, the second status line ends
 * up inside a line of the first head, and the headers of the second response seem to belong to the first.
 */
final class ResponseHeads {

    private static final String VERSION = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

    private ResponseHeads() {}

    /** Returns whether a head consists of the beginning of one head and the rest of another. */
    static boolean isMerged(HttpResponse response, HeaderScheme scheme) {
        if (containsStatusLine(response.status().reasonPhrase()) || hasSeveralIds(response, scheme)) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }

    private static boolean hasSeveralIds(HttpResponse response, HeaderScheme scheme) {
        return response.headers().getAll(scheme.requestId()).stream().distinct().count() > 1;
    }
}
