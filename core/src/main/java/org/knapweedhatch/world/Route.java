package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * A path prefix that leads to a service.
 *
 * @param name unique name
 * @param path path prefix, beginning with a slash
 * @param service service that runs the requests
 * @param access who may use it
 */
public record Route(String name, String path, String service, Access access) {
    public Route {
        Validate.notEmpty(name, "route name");
        Validate.notEmpty(path, "path");
        Validate.isTrue(path.startsWith("/"), "a path begins with a slash: %s", path);
        Validate.notEmpty(service, "service");
        Validate.notNull(access, "access");
    }
}
