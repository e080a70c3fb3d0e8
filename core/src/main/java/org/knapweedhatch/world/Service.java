package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * A service that targets run.
 *
 * @param name unique name
 * @param timeout longest time one request may take, waiting included
 * @param healthPath path that a target answers while it is healthy
 * @param connections connections that one target accepts from all hosts together
 * @param coldStart how long a target is slow after its start
 * @param coldRate requests per second that a cold target bears from all hosts together
 */
public record Service(
        String name, Duration timeout, String healthPath, int connections, Duration coldStart, double coldRate) {

    /** Cold rate of a service whose cold targets bear any number of requests per second. */
    public static final double UNLIMITED_RATE = 1e9;

    private static final String DEFAULT_HEALTH_PATH = "/health";
    private static final int DEFAULT_CONNECTIONS = 330;
    private static final Duration DEFAULT_COLD_START = Duration.ofSeconds(3);

    public Service {
        Validate.notEmpty(name, "service name");
        Validate.isTrue(timeout.compareTo(Duration.ZERO) > 0, "timeout must be above zero: %s", timeout);
        Validate.isTrue(healthPath.startsWith("/"), "a path begins with a slash: %s", healthPath);
        Validate.positive(connections, "connections");
        Validate.isTrue(!coldStart.isNegative(), "cold start must not be negative: %s", coldStart);
        Validate.isTrue(coldRate > 0, "cold rate must be above zero: %s", coldRate);
    }

    /** Creates a service whose targets are used in the standard way. */
    public Service(String name, Duration timeout) {
        this(name, timeout, DEFAULT_HEALTH_PATH, DEFAULT_CONNECTIONS, DEFAULT_COLD_START, UNLIMITED_RATE);
    }
}
