package org.knapweedhatch.http;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.helper.Validate;

/**
 * One HTTP request with its timeout.
 *
 * <pre>{@code
 * HttpCall call = HttpCall.get(uri).header("Authorization", "Bearer t").timeout(Duration.ofSeconds(1));
 * }</pre>
 *
 * @param method HTTP method
 * @param uri absolute URI whose host is an IP number
 * @param headers headers by name
 * @param body body; empty where there is none
 * @param timeout longest time from connecting to the last byte of the answer
 */
public record HttpCall(String method, URI uri, Map<String, String> headers, byte[] body, Duration timeout) {

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

    public HttpCall {
        Validate.notEmpty(method, "method");
        Validate.isTrue(uri.getHost() != null && uri.getPort() > 0, "a call needs a host and a port: %s", uri);
        headers = Map.copyOf(headers);
    }

    /** Returns a GET. */
    public static HttpCall get(URI uri) {
        return of("GET", uri, new byte[0]);
    }

    /** Returns a call with a body, which may be empty. */
    public static HttpCall of(String method, URI uri, byte[] body) {
        return new HttpCall(method, uri, Map.of(), body, DEFAULT_TIMEOUT);
    }

    /** Returns this call with one more header. */
    public HttpCall header(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new HttpCall(method, uri, more, body, timeout);
    }

    /** Returns this call with another timeout. */
    public HttpCall timeout(Duration longest) {
        return new HttpCall(method, uri, headers, body, longest);
    }
}
