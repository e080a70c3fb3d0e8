package org.knapweedhatch.steer;

import org.knapweedhatch.world.Target;

/** The portion of a target's slots and connections that a host may use. */
public enum SlotAllowance {
    /** No slots. */
    NONE {
        @Override
        int portionOf(int total) {
            return 0;
        }
    },
    /** Half of the slots, used by a new owner while the previous owner may still use the rest. */
    BORROWED {
        @Override
        int portionOf(int total) {
            return total / 2;
        }
    },
    /** The other half, kept by an owner that cannot confirm that it still owns the target. */
    RETAINED {
        @Override
        int portionOf(int total) {
            return total - total / 2;
        }
    },
    /** All slots. */
    FULL {
        @Override
        int portionOf(int total) {
            return total;
        }
    };

    abstract int portionOf(int total);

    /** Returns how many requests may run at a target concurrently. */
    public int slots(Target target) {
        return Math.min(portionOf(target.slots()), connections(target));
    }

    /** Returns how many connections to a target may be open at the same time. */
    public int connections(Target target) {
        return portionOf(target.connections());
    }
}
