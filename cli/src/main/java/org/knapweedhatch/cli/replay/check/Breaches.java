package org.knapweedhatch.cli.replay.check;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts broken promises and keeps the first of each kind. */
public final class Breaches {

    private static final int KEPT_PER_PROMISE = 3;

    private final Map<Promise, Long> counts = new EnumMap<>(Promise.class);
    private final List<Breach> kept = new ArrayList<>();

    /** Adds a broken promise. */
    public void add(Promise promise, long nanos, String subject, String detail) {
        long count = counts.merge(promise, 1L, Long::sum);
        if (count <= KEPT_PER_PROMISE) {
            kept.add(new Breach(promise, nanos, subject, detail));
        }
    }

    /** Returns how often each promise was broken. */
    public Map<Promise, Long> counts() {
        return counts;
    }

    /** Returns the first of each promise broken. */
    public List<Breach> kept() {
        return kept;
    }
}
