package org.knapweedhatch.member;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/**
 * A host as a table of its region shows it.
 *
 * @param host the host
 * @param incarnation number of the process at that name
 * @param state what the sender knows of it
 */
public record Row(Host host, long incarnation, MemberState state) {
    private static final long MIX = 0x9E3779B97F4A7C15L;

    public Row {
        Validate.notNull(host, "host");
        Validate.notNull(state, "state");
    }

    /** Returns the name of the host. */
    public String name() {
        return host.name();
    }

    /** Returns a 64-bit hash; the hash of a table is the sum of its rows' hashes. */
    long hash() {
        long h = host.name().hashCode() * MIX;
        h = (h ^ incarnation ^ (h >>> 32)) * MIX;
        h = (h ^ state.ordinal() ^ (h >>> 29)) * MIX;
        return h ^ (h >>> 32);
    }

    /** Returns whether this row says more than another one: a later process, or the same one in a livelier state. */
    boolean beats(Row other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return rank(state) > rank(other.state);
    }

    static boolean living(MemberState state) {
        return state == MemberState.ALIVE || state == MemberState.LEAVING;
    }

    private static int rank(MemberState state) {
        return switch (state) {
            case LEAVING -> 3;
            case ALIVE -> 2;
            case SILENT -> 1;
            case CUT_OFF -> 0;
        };
    }
}
