package org.knapweedhatch.edge;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.knapweedhatch.helper.Validate;

/**
 * A request as it leaves this host.
 *
 * @param connections pool of connections to where it goes
 * @param method HTTP method
 * @param path path with its query, as the caller sent it
 * @param headers headers that may leave this host
 */
record Outbound(Connections connections, HttpString method, String path, HeaderMap headers) {
    Outbound {
        Validate.notNull(connections, "connections");
        Validate.notNull(method, "method");
        Validate.notEmpty(path, "path");
        Validate.notNull(headers, "headers");
    }
}
