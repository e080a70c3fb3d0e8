package org.knapweedhatch.place;

/** Which capacity of targets a request may take, from none to all that {@link Placer#place(PlacementRequest)} gives. */
public enum Capacity {
    /** None: the placer only forecasts. */
    NONE,
    /**
     * A slot that is free or about to be, at a target that has the request's object cached and is expected to answer
     * within the latency target.
     */
    CACHED_IN_TIME,
    /** A free slot at any target that is expected to answer within the latency target. */
    SLOT_IN_TIME,
    /**
     * A free slot at a target that has the object cached, even if the response is expected after the latency target.
     */
    CACHED_SLOT,
    /** Any capacity that a request may take without waiting at the host. */
    ANY;

    /**
     * Requests that may wait at a target whose slots are taken. One covers the network delay between the end of a
     * request at the target and the start of the next one.
     */
    private static final int SHORT_QUEUE = 1;

    /** Returns whether a request may take a target of a suitability; {@code cached} if the object is probably there. */
    boolean includes(Candidate candidate, Suitability suitability, boolean cached) {
        int slots = candidate.state().slots();
        return switch (this) {
            case NONE -> false;
            case CACHED_IN_TIME ->
                cached && suitability == Suitability.IN_TIME && candidate.inFlight() < slots + SHORT_QUEUE;
            case SLOT_IN_TIME -> suitability == Suitability.IN_TIME && candidate.inFlight() < slots;
            case CACHED_SLOT ->
                (cached || suitability == Suitability.LAST_RESORT)
                        && suitability != Suitability.UNSUITABLE
                        && candidate.inFlight() < slots;
            case ANY -> suitability != Suitability.UNSUITABLE;
        };
    }
}
