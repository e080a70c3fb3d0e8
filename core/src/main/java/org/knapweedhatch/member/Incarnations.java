package org.knapweedhatch.member;

import java.time.Instant;
import java.util.SplittableRandom;

/** Creates incarnation numbers: the wall clock at the start of the process in milliseconds, and 8 random bits. */
final class Incarnations {

    private static final int RANDOM_BITS = 8;

    private Incarnations() {}

    static long first(Instant start, SplittableRandom random) {
        return Math.max(0, start.toEpochMilli()) << RANDOM_BITS | random.nextInt(1 << RANDOM_BITS);
    }

    /** Returns a number above one that was seen, for a process whose clock is behind the start of its predecessor. */
    static long above(long seen) {
        return seen + 1;
    }
}
