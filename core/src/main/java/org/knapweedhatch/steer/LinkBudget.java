package org.knapweedhatch.steer;

/** Byte budgets of the links between regions; each direction has its own budget. */
@FunctionalInterface
public interface LinkBudget {

    /** Takes bytes from the budget of a direction; returns false and takes nothing if too few are left. */
    boolean tryTake(String fromRegion, String toRegion, long bytes);

    /** Returns an unlimited budget. */
    static LinkBudget unbounded() {
        return (from, to, bytes) -> true;
    }
}
