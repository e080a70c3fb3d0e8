package org.knapweedhatch.front;

import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Iterator;
import java.util.Map;
import org.knapweedhatch.message.HeaderScheme;

/** Reads what the head of a caller's request says of its size and time. */
final class RequestHeads {

    /** Heap of a request besides the text of its head. */
    private static final long REQUEST_OVERHEAD_BYTES = 1_024;

    /** Heap of a header besides its text. */
    private static final long HEADER_OVERHEAD_BYTES = 160;

    private RequestHeads() {}

    /** Returns an upper bound of the heap that a head takes, in bytes. */
    static long memoryOf(HttpRequest head) {
        long bytes = REQUEST_OVERHEAD_BYTES + head.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            bytes += HEADER_OVERHEAD_BYTES
                    + header.getKey().length()
                    + header.getValue().length();
        }
        return bytes;
    }

    /** Returns the time that a request may take: the shorter one of its route's and its caller's. */
    static Duration timeout(HttpRequest head, HeaderScheme scheme, Duration routeTimeout) {
        String text = head.headers().get(scheme.deadlineMs());
        if (text == null || !text.matches("\\d{1,9}")) {
            return routeTimeout;
        }
        Duration wanted = Duration.ofMillis(Long.parseLong(text));
        return wanted.compareTo(routeTimeout) < 0 ? wanted : routeTimeout;
    }
}
