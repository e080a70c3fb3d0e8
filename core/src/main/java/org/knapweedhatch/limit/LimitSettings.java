package org.knapweedhatch.limit;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;

/**
 * The timing of limits; all hosts of a fleet must use the same values.
 *
 * @param lease longest time for which budget is lent
 * @param silence time without a message after which a host may be fenced by another of its failure domain
 * @param confirmation time for which a host uses its share after a majority of its electors confirmed it
 * @param confirmPeriod time between two requests for confirmation
 * @param reclaim time after which the share of a wholly silent failure domain is reclaimed
 * @param drift largest relative error of any host's monotonic clock
 * @param linkBurst time for which a link may send at once what it carries
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
                confirmation.compareTo(confirmPeriod.multipliedBy(2)) > 0, "confirmation must outlast two periods");
        Validate.isTrue(reclaim.compareTo(confirmation) > 0, "reclaim must be longer than confirmation");
        Validate.isTrue(drift >= 0 && drift <= MAX_DRIFT, "drift must lie between 0 and 0.01: %s", drift);
    }

    /** Returns the settings that a fleet uses unless told otherwise. */
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

    /** Returns a duration, in local nanoseconds, that is over by the time the same duration is over anywhere else. */
    long shortenedForDrift(Duration duration) {
        return (long) (duration.toNanos() * (1 - 2 * drift));
    }

    /** Returns a duration, in local nanoseconds, that is over only after the same duration is over anywhere else. */
    long lengthenedForDrift(Duration duration) {
        return (long) Math.ceil(duration.toNanos() * (1 + 3 * drift));
    }
}
