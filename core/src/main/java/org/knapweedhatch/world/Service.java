package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * A service that targets run.
 *
 * @param name unique name
 * @param timeout longest time one request may take, waiting included
 */
public record Service(String name, Duration timeout) {
    public Service {
        Validate.notEmpty(name, "service name");
        Validate.isTrue(timeout.compareTo(Duration.ZERO) > 0, "timeout must be above zero: %s", timeout);
    }
}
