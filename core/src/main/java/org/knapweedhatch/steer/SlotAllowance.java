package org.knapweedhatch.steer;

import org.knapweedhatch.world.Target;

/** How much of a target's slots and connections a host may hold at one moment. */
public enum SlotAllowance {
    /** Nothing. */
    NONE {
        @Override
        int portionOf(int whole) {
            return 0;
        }
    },
    /** The part that a new owner takes while an earlier one may still hold the rest. */
    BORROWED {
        @Override
        int portionOf(int whole) {
            return whole / 2;
        }
    },
    /** The part that an owner keeps while it cannot confirm that it still owns the whole. */
    RETAINED {
        @Override
        int portionOf(int whole) {
            return whole - whole / 2;
        }
    },
    /** The whole. */
    FULL {
        @Override
        int portionOf(int whole) {
            return whole;
        }
    };

    abstract int portionOf(int whole);

    /** Returns how many requests may run at a target at once. */
    public int slots(Target target) {
        return Math.min(portionOf(target.slots()), connections(target));
    }

    /** Returns how many connections to a target may be open at once. */
    public int connections(Target target) {
        return portionOf(target.connections());
    }
}
