package org.knapweedhatch.member;

import java.time.Duration;

/** The intervals and timeouts of the membership protocol, in nanoseconds. */
final class Timing {

    /** Interval between heartbeats to the hosts of the local region. */
    static final long HEARTBEAT_INTERVAL = Duration.ofMillis(1000).toNanos();

    /** Interval between digests from one region to another. */
    static final long DIGEST_INTERVAL = Duration.ofMillis(1000).toNanos();

    /** Interval between requests for a neighbour's member table. */
    static final long EXCHANGE_INTERVAL = Duration.ofMillis(2000).toNanos();

    /** Largest random deviation of an interval from its mean, as a fraction of the mean. */
    static final double JITTER_FRACTION = 0.1;

    /** Shortest interval between messages when a state change brings the next one forward. */
    static final long MIN_SEND_GAP = Duration.ofMillis(200).toNanos();

    /** Time after which an unheard host of the local region is probed through others. */
    static final long PROBE_AFTER = Duration.ofMillis(1400).toNanos();

    /** Time after which an unheard host of the local region no longer counts as alive. */
    static final long HEARTBEAT_TIMEOUT = Duration.ofMillis(2400).toNanos();

    /** A host counts as dead only if another one of its domain was heard this much later. Above one interval. */
    static final long DOMAIN_HEARD_MARGIN = Duration.ofMillis(1500).toNanos();

    /** Digests confirmed within this time supersede older ones of their region. Two intervals and one relay. */
    static final long DIGEST_CURRENT = Duration.ofMillis(2500).toNanos();

    /** A domain that was not heard for this long counts as having been cut off. Above one interval. */
    static final long DOMAIN_GAP = Duration.ofMillis(1400).toNanos();

    /** Time after a domain's return before its hosts can count as dead: they may still be reconnecting. */
    static final long DOMAIN_RETURN_MARGIN = Duration.ofMillis(4000).toNanos();

    /** Time after which the content of a digest expires. */
    static final long DIGEST_TIMEOUT = Duration.ofMillis(5000).toNanos();

    /** Time for which a changed row is repeated in digests. */
    static final long RECENT_CHANGE = Duration.ofMillis(3000).toNanos();

    /** Shortest interval between requests for the same whole table. */
    static final long TABLE_REQUEST_INTERVAL = Duration.ofMillis(500).toNanos();

    /** Interval between evaluations of the states of all members. */
    static final long EVALUATION_INTERVAL = Duration.ofMillis(200).toNanos();

    /** A longer gap between two ticks means that this process was paused and could hear nobody. */
    static final long PAUSE_THRESHOLD = Duration.ofMillis(1000).toNanos();

    /** Interval between the first introductions to a host that does not reply. */
    static final long INTRODUCTION_INTERVAL = Duration.ofMillis(1600).toNanos();

    /** Interval between later introductions to a host that does not reply. */
    static final long SLOW_INTRODUCTION_INTERVAL = Duration.ofSeconds(10).toNanos();

    /** Number of introductions before the slow interval applies. */
    static final int FAST_INTRODUCTIONS = 5;

    /** Time from first hearing another host until this host counts as joined. */
    static final long JOIN_DELAY = Duration.ofMillis(1500).toNanos();

    /** Time from the start until a host counts as joined even if it hears no other one. */
    static final long JOIN_ALONE_DELAY = Duration.ofSeconds(4).toNanos();

    /** Time for which a dead host stays in the view. */
    static final long REMOVE_DEAD_AFTER = Duration.ofHours(24).toNanos();

    /** Interval after which digests to an unheard region go to other hosts of it. */
    static final long ROTATION_INTERVAL = Duration.ofSeconds(1).toNanos();

    /** Clock reading that stands for "never heard". */
    static final long NEVER = Long.MIN_VALUE / 2;

    private Timing() {}

    /** Returns a clock reading moved forward by the length of a pause, but not past {@code nowNanos}. */
    static long shiftedByPause(long readingNanos, long pauseNanos, long nowNanos) {
        return readingNanos == NEVER ? NEVER : Math.min(nowNanos, readingNanos + pauseNanos);
    }
}
