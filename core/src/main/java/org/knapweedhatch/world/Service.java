package org.knapweedhatch.world;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * A service, provided by a group of targets.
 *
 * @param name unique name
 * @param timeout longest time that one request may take, including time in the queue
 * @param healthPath path of the health check of a target
 * @param connections connections that one target accepts, summed over all hosts
 * @param coldStart warm-up time during which a target is slow after its start
 * @param coldRate requests per second that a target can run during warm-up, summed over all hosts
 */
public record Service(
        String name, Duration timeout, String healthPath, int connections, Duration coldStart, double coldRate) {

    /** Cold rate of a service whose targets need no rate limit during warm-up. */
    public static final double UNLIMITED_RATE = 1e9;

    private static final String DEFAULT_HEALTH_PATH = "/health";
    private static final int DEFAULT_CONNECTIONS = 330;
    private static final Duration DEFAULT_COLD_START = Duration.ofSeconds(3);

    public Service {
        Validate.notEmpty(name, "service name");
        Validate.isTrue(timeout.compareTo(Duration.ZERO) > 0, "timeout must be positive: %s", timeout);
        Validate.isTrue(healthPath.startsWith("/"), "health path must start with a slash: %s", healthPath);
        Validate.positive(connections, "connections");
        Validate.isTrue(!coldStart.isNegative(), "cold start must not be negative: %s", coldStart);
        Validate.isTrue(coldRate > 0, "cold rate must be positive: %s", coldRate);
    }

    /** Creates a service with default health path, connections and cold start, and an unlimited cold rate. */
    public Service(String name, Duration timeout) {
        this(name, timeout, DEFAULT_HEALTH_PATH, DEFAULT_CONNECTIONS, DEFAULT_COLD_START, UNLIMITED_RATE);
    }
}
