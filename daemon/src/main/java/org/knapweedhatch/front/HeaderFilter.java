package org.knapweedhatch.front;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.knapweedhatch.message.HeaderScheme;

/** Selects the headers that a host forwards between callers and targets. */
final class HeaderFilter {

    /** Hop-by-hop headers, which concern one connection only (RFC 9110, 7.6.1). */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private final HeaderScheme scheme;
    private final Set<String> strippedFromRequests;
    private final Set<String> strippedFromResponses;

    private HeaderFilter(HeaderScheme scheme) {
        this.scheme = scheme;
        strippedFromRequests = lowerCase(scheme.key(), scheme.team(), scheme.expectedTarget(), scheme.deadlineMs());
        strippedFromResponses = lowerCase(scheme.load(), scheme.targetName(), scheme.coldMs(), scheme.notRun());
    }

    static HeaderFilter of(HeaderScheme scheme) {
        return new HeaderFilter(scheme);
    }

    private static Set<String> lowerCase(String... names) {
        Set<String> all = new HashSet<>();
        for (String name : names) {
            all.add(name.toLowerCase(Locale.ROOT));
        }
        return all;
    }

    /**
     * Returns the headers to send to a target for a caller's request.
     *
     * @param received headers of the caller's request
     * @param team name of the team; empty on routes that are open to all
     * @param target name of the target that the request is meant for
     * @param deadlineMs time left for the request, in milliseconds
     */
    HttpHeaders toTarget(HttpHeaders received, String team, String target, long deadlineMs) {
        HttpHeaders passed = copyWithout(received, strippedFromRequests);
        if (!team.isEmpty()) {
            passed.set(scheme.team(), team);
        }
        return passed.set(scheme.expectedTarget(), target).set(scheme.deadlineMs(), Long.toString(deadlineMs));
    }

    /** Returns the headers to send to the caller for a target's response. */
    HttpHeaders toCaller(HttpHeaders received) {
        return copyWithout(received, strippedFromResponses);
    }

    private static HttpHeaders copyWithout(HttpHeaders received, Set<String> without) {
        Set<String> named = connectionOptions(received);
        // Names and values were validated by the decoder.
        HttpHeaders passed =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        for (Map.Entry<String, String> header : received) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !without.contains(name) && !named.contains(name)) {
                passed.add(header.getKey(), header.getValue());
            }
        }
        return passed;
    }

    /** Returns the header names that the Connection header declares as hop-by-hop. */
    private static Set<String> connectionOptions(HttpHeaders received) {
        if (!received.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> names = new HashSet<>();
        for (String value : received.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                names.add(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
