package org.knapweedhatch.limit;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * Timing of the limits. All hosts of a fleet must use the same values.
 *
 * @param lease longest duration of a loan
 * @param silence time without a message after which another host of the same failure domain may fence a host
 * @param confirmation time for which a host may use its shares after a majority of its voters confirmed it
 * @param confirmPeriod interval between requests for confirmation
 * @param reclaim time after the last confirmation for which a host may use its shares while no other host of its
 *     failure domain could fence it; the shares of a domain that is silent for longer can be reclaimed
 * @param drift largest relative error of any host's monotonic clock
 * @param linkBurst burst of a link, as the time that it takes to send it at the rate of the link
 */
public record LimitSettings(
        Duration lease,
        Duration silence,
        Duration confirmation,
        Duration confirmPeriod,
        Duration reclaim,
        double drift,
        Duration linkBurst) {

    private static final double MAX_DRIFT = 0.01;

    /** Checks the values against each other; throws {@link IllegalArgumentException}. */
    public LimitSettings {
        Validate.positive(lease.toNanos(), "lease");
        Validate.positive(silence.toNanos(), "silence");
        Validate.positive(confirmPeriod.toNanos(), "confirmPeriod");
        Validate.positive(linkBurst.toNanos(), "linkBurst");
        Validate.isTrue(
                confirmation.compareTo(confirmPeriod.multipliedBy(2)) > 0,
                "confirmation must be longer than two confirmPeriods");
        Validate.isTrue(reclaim.compareTo(confirmation) > 0, "reclaim must be longer than confirmation");
        Validate.isTrue(drift >= 0 && drift <= MAX_DRIFT, "drift must lie between 0 and 0.01: %s", drift);
    }

    /** Returns the default settings. */
    public static LimitSettings standard() {
        return new LimitSettings(
                Duration.ofSeconds(2),
                Duration.ofSeconds(4),
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                Duration.ofHours(24),
                0.0005,
                Duration.ofMillis(200));
    }

    /**
     * Returns a duration in nanoseconds of the local clock, shortened so that it ends here no later than the unchanged
     * duration ends on any other host, whatever the drift.
     */
    long shortenedForDrift(Duration duration) {
        return (long) (duration.toNanos() * (1 - 2 * drift));
    }

    /**
     * Returns a duration in nanoseconds of the local clock, lengthened so that it ends here only after the unchanged
     * duration has ended on every other host, whatever the drift.
     */
    long lengthenedForDrift(Duration duration) {
        return (long) Math.ceil(duration.toNanos() * (1 + 3 * drift));
    }
}
