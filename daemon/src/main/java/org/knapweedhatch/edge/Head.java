package org.knapweedhatch.edge;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.knapweedhatch.helper.Validate;

/**
 * The head of a request as it leaves this host.
 *
 * @param method HTTP method
 * @param path path with its query, as the caller sent it
 * @param headers headers that may leave this host
 */
record Head(HttpString method, String path, HeaderMap headers) {
    Head {
        Validate.notNull(method, "method");
        Validate.notEmpty(path, "path");
        Validate.notNull(headers, "headers");
    }
}
