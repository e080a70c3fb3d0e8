package org.knapweedhatch.steer;

/** The budget of bytes that may pass from one region to another; the two directions are apart. */
@FunctionalInterface
public interface LinkBudget {

    /** Takes bytes of a direction; returns false, and takes nothing, where they are not there. */
    boolean tryTake(String fromRegion, String toRegion, long bytes);

    /** Returns a budget without bound. */
    static LinkBudget unbounded() {
        return (from, to, bytes) -> true;
    }
}
