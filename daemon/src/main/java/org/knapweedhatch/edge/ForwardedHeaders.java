package org.knapweedhatch.edge;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.knapweedhatch.message.HeaderNames;

/** Which headers of a request or an answer are passed on. */
final class ForwardedHeaders {

    private static final Set<HttpString> HOP_BY_HOP = Set.of(
            Headers.CONNECTION,
            new HttpString("Keep-Alive"),
            new HttpString("Proxy-Connection"),
            Headers.PROXY_AUTHENTICATE,
            Headers.PROXY_AUTHORIZATION,
            Headers.TE,
            Headers.TRAILER,
            Headers.UPGRADE,
            Headers.EXPECT);

    private static final String OWN_PREFIX = "knapweedhatch-";

    private ForwardedHeaders() {}

    /**
     * Returns the headers of a caller's request that may leave this host: no key, none between hosts, no hop-by-hop.
     */
    static HeaderMap ofRequest(HeaderMap received) {
        Set<HttpString> dropped = named(received);
        HeaderMap passed = new HeaderMap();
        for (HeaderValues header : received) {
            HttpString name = header.getHeaderName();
            boolean own = name.toString().toLowerCase(Locale.ROOT).startsWith(OWN_PREFIX);
            boolean host = name.equals(Headers.HOST);
            if (!own && !host && !HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
                passed.putAll(name, header);
            }
        }
        return passed;
    }

    /** Copies the headers of an answer that may reach the caller. */
    static void copyAnswer(HeaderMap received, HeaderMap toCaller) {
        Set<HttpString> dropped = named(received);
        for (HeaderValues header : received) {
            HttpString name = header.getHeaderName();
            boolean internal = name.equalToString(HeaderNames.LOAD) || name.equalToString(HeaderNames.REQUEST_ID);
            if (!internal && !HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
                toCaller.putAll(name, header);
            }
        }
    }

    private static Set<HttpString> named(HeaderMap received) {
        Set<HttpString> names = new HashSet<>();
        HeaderValues connection = received.get(Headers.CONNECTION);
        if (connection == null) {
            return names;
        }
        for (String value : connection) {
            for (String token : value.split(",")) {
                names.add(new HttpString(token.trim()));
            }
        }
        names.remove(Headers.CONTENT_LENGTH);
        names.remove(Headers.TRANSFER_ENCODING);
        return names;
    }
}
