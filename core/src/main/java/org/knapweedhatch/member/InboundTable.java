package org.knapweedhatch.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** This host's copy of a region's member table as maintained by the digests of one sender. */
final class InboundTable {

    private final Map<String, MemberRow> rows = new HashMap<>();
    private long hash;
    private Digest digest;
    private long confirmedNanos = Timing.NEVER;
    private long requestedNanos = Timing.NEVER;
    private long lastReceivedNanos = Timing.NEVER;

    /** Applies the changes of a digest; returns whether the copy's hash now equals that of the sender's table. */
    boolean apply(Digest newer, long nowNanos) {
        digest = newer;
        lastReceivedNanos = nowNanos;
        newer.changed().forEach(this::put);
        if (hash != newer.hash()) {
            return false;
        }
        confirmedNanos = Math.max(confirmedNanos, nowNanos - newer.ageMillis() * 1_000_000L);
        return true;
    }

    /** Replaces the copy with a whole table; returns whether its hash is correct. */
    boolean replace(Digest whole, long nowNanos) {
        rows.clear();
        hash = 0;
        return apply(whole, nowNanos);
    }

    private void put(MemberRow row) {
        MemberRow old = rows.put(row.name(), row);
        hash += row.hash() - (old == null ? 0 : old.hash());
    }

    /** Returns whether the whole table may be requested now; if so, records the request. */
    boolean takeRequestTurn(long nowNanos) {
        if (nowNanos - requestedNanos < Timing.TABLE_REQUEST_INTERVAL) {
            return false;
        }
        requestedNanos = nowNanos;
        return true;
    }

    boolean isFresh(long nowNanos) {
        return nowNanos - confirmedNanos < Timing.DIGEST_TIMEOUT;
    }

    /** Returns whether it was confirmed so recently that older copies of the same region are ignored. */
    boolean isCurrent(long nowNanos) {
        return nowNanos - confirmedNanos < Timing.DIGEST_CURRENT;
    }

    /** Returns whether its sender has been silent for so long that the copy can be dropped. */
    boolean isAbandoned(long nowNanos) {
        return nowNanos - lastReceivedNanos > 2 * Timing.DIGEST_TIMEOUT;
    }

    /** Returns the clock reading at which the region itself last confirmed the content of this copy. */
    long confirmedNanos() {
        return confirmedNanos;
    }

    void excludePause(long pauseNanos, long nowNanos) {
        confirmedNanos = Timing.shiftedByPause(confirmedNanos, pauseNanos, nowNanos);
    }

    MemberRow row(String name) {
        return rows.get(name);
    }

    Collection<MemberRow> rows() {
        return List.copyOf(rows.values());
    }

    Digest digest() {
        return digest;
    }
}
