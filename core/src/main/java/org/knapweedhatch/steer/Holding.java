package org.knapweedhatch.steer;

import org.knapweedhatch.world.Target;

/** How much of a target's slots and connections a host may hold at one moment. */
public enum Holding {
    /** Nothing. */
    NONE {
        @Override
        int part(int whole) {
            return 0;
        }
    },
    /** The part that a new owner takes while an earlier one may still hold the rest. */
    LENT {
        @Override
        int part(int whole) {
            return whole / 2;
        }
    },
    /** The part that an owner keeps while it cannot confirm that it still owns the whole. */
    KEPT {
        @Override
        int part(int whole) {
            return whole - whole / 2;
        }
    },
    /** The whole. */
    FULL {
        @Override
        int part(int whole) {
            return whole;
        }
    };

    abstract int part(int whole);

    /** Returns how many requests may run at a target at once. */
    public int slots(Target target) {
        return Math.min(part(target.slots()), connections(target));
    }

    /** Returns how many connections to a target may be open at once. */
    public int connections(Target target) {
        return part(target.connections());
    }
}
