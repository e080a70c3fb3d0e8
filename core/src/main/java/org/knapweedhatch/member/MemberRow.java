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
public record MemberRow(Host host, long incarnation, MemberState state) {
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    public MemberRow {
        Validate.notNull(host, "host");
        Validate.notNull(state, "state");
    }

    /** Returns the name of the host. */
    public String name() {
        return host.name();
    }

    /** Returns a 64-bit hash; the hash of a table is the sum of its rows' hashes. */
    long hash() {
        long h = host.name().hashCode() * HASH_MULTIPLIER;
        h = (h ^ incarnation ^ (h >>> 32)) * HASH_MULTIPLIER;
        h = (h ^ state.ordinal() ^ (h >>> 29)) * HASH_MULTIPLIER;
        return h ^ (h >>> 32);
    }

    /** Returns whether this row says more than another one: a later process, or the same one in a livelier state. */
    boolean supersedes(MemberRow other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return precedence(state) > precedence(other.state);
    }

    static boolean isLiving(MemberState state) {
        return state == MemberState.ALIVE || state == MemberState.LEAVING;
    }

    private static int precedence(MemberState state) {
        return switch (state) {
            case LEAVING -> 3;
            case ALIVE -> 2;
            case SILENT -> 1;
            case CUT_OFF -> 0;
        };
    }
}
