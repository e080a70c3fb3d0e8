package org.knapweedhatch.place;

import java.time.Duration;

/**
 * Which part of a service's objects is served by targets of other regions, because those of the own region are busy.
 *
 * <p>The part moves slowly, so that traffic does not jump between regions, and by object, so that the same targets go on
 * handling the same objects. Answers the load of a region whose callers ask for more than its own targets carry.
 *
 * <p>Not safe for use by several threads; its pool's lock guards it.
 */
final class AwayShare {

    /** Busy part of the own region's slots above which more goes away. */
    private static final double CROWDED = 0.85;

    /** Busy part of the own region's slots below which less goes away. */
    private static final double ROOMY = 0.55;

    /** Span over which the terms bound the requests that may change their region. */
    private static final double SHIFT_WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    /** Part of the bound that one service uses; callers that move between regions take the rest. */
    private static final double USED = 0.5;

    private final double perNano;
    private double share;
    private long movedNanos;

    AwayShare(double shiftPerWindow, long nowNanos) {
        perNano = shiftPerWindow * USED / SHIFT_WINDOW_NANOS;
        movedNanos = nowNanos;
    }

    /** Moves the share by how busy the own region's targets are, and others can take more. */
    void move(double ownBusy, boolean othersHaveRoom, long nowNanos) {
        double most = (nowNanos - movedNanos) * perNano;
        movedNanos = nowNanos;
        if (ownBusy > CROWDED && othersHaveRoom) {
            share = Math.min(1, share + most);
        } else if (ownBusy < ROOMY) {
            share = Math.max(0, share - most);
        }
    }

    /** Sends everything away: the own region has no target that could be used. */
    void all(long nowNanos) {
        share = 1;
        movedNanos = nowNanos;
    }

    /** Returns whether an object, drawn from 0 to 1 by its name, is served elsewhere. */
    boolean covers(double draw) {
        return draw < share;
    }

    double share() {
        return share;
    }
}
