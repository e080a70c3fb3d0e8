package org.knapweedhatch.member;

import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Host;

/**
 * A row of a region's member table: a host and its state.
 *
 * @param host the host
 * @param incarnation incarnation of the process under that name
 * @param state its state as observed by the sender
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

    /** Returns a 64-bit hash that is equal on all hosts; the hash of a table is the sum of its rows' hashes. */
    long hash() {
        long h = host.name().hashCode() * HASH_MULTIPLIER;
        h = (h ^ incarnation ^ (h >>> 32)) * HASH_MULTIPLIER;
        h = (h ^ state.ordinal() ^ (h >>> 29)) * HASH_MULTIPLIER;
        return h ^ (h >>> 32);
    }

    /**
     * Returns whether this row is stronger evidence than another one: a later process, or a livelier state of the same.
     */
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
