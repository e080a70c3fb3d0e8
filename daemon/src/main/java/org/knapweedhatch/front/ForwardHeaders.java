package org.knapweedhatch.front;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.knapweedhatch.message.HeaderScheme;

/** Which headers pass through a host. */
final class ForwardHeaders {

    /** Headers that concern one connection only (RFC 9110, 7.6.1). */
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
    private final Set<String> neverToTarget;
    private final Set<String> neverToCaller;

    private ForwardHeaders(HeaderScheme scheme) {
        this.scheme = scheme;
        neverToTarget = lowerCase(scheme.key(), scheme.team(), scheme.expectedTarget(), scheme.deadlineMs());
        neverToCaller = lowerCase(scheme.load(), scheme.targetName(), scheme.coldMs(), scheme.notRun());
    }

    static ForwardHeaders of(HeaderScheme scheme) {
        return new ForwardHeaders(scheme);
    }

    private static Set<String> lowerCase(String... names) {
        Set<String> all = new HashSet<>();
        for (String name : names) {
            all.add(name.toLowerCase(Locale.ROOT));
        }
        return all;
    }

    /** Returns the headers of a caller's request for a target; team is empty on routes that are open to all. */
    HttpHeaders toTarget(HttpHeaders received, String team, String target, long deadlineMs) {
        HttpHeaders passed = copied(received, neverToTarget);
        if (!team.isEmpty()) {
            passed.set(scheme.team(), team);
        }
        return passed.set(scheme.expectedTarget(), target).set(scheme.deadlineMs(), Long.toString(deadlineMs));
    }

    /** Returns the headers of a target's answer for the caller. */
    HttpHeaders toCaller(HttpHeaders received) {
        return copied(received, neverToCaller);
    }

    private static HttpHeaders copied(HttpHeaders received, Set<String> without) {
        Set<String> named = named(received);
        // The names and values were checked when they were read.
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

    /** Returns the names that the Connection header makes headers of one hop. */
    private static Set<String> named(HttpHeaders received) {
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
