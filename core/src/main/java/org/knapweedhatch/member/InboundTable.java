package org.knapweedhatch.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The copy of a region's table as one sender keeps telling it. */
final class InboundTable {

    private final Map<String, Row> rows = new HashMap<>();
    private long hash;
    private Digest digest;
    private long confirmedNanos = Timing.NEVER;
    private long requestedNanos = Timing.NEVER;
    private long touchedNanos = Timing.NEVER;

    /** Applies the changes of a digest; returns whether the copy now equals the sender's table. */
    boolean apply(Digest newer, long nowNanos) {
        digest = newer;
        touchedNanos = nowNanos;
        newer.changed().forEach(this::put);
        if (hash != newer.hash()) {
            return false;
        }
        confirmedNanos = Math.max(confirmedNanos, nowNanos - newer.ageMillis() * 1_000_000L);
        return true;
    }

    /** Replaces the copy by a whole table. */
    boolean replace(Digest whole, long nowNanos) {
        rows.clear();
        hash = 0;
        return apply(whole, nowNanos);
    }

    private void put(Row row) {
        Row old = rows.put(row.name(), row);
        hash += row.hash() - (old == null ? 0 : old.hash());
    }

    /** Returns whether the whole table should be asked for now, and notes that it was. */
    boolean request(long nowNanos) {
        if (nowNanos - requestedNanos < Timing.TABLE_RETRY) {
            return false;
        }
        requestedNanos = nowNanos;
        return true;
    }

    boolean fresh(long nowNanos) {
        return nowNanos - confirmedNanos < Timing.DIGEST_TIMEOUT;
    }

    /** Returns whether it was confirmed so lately that older copies of the same region are put aside. */
    boolean current(long nowNanos) {
        return nowNanos - confirmedNanos < Timing.DIGEST_CURRENT;
    }

    /** Returns whether its sender has told nothing for so long that the copy may go. */
    boolean abandoned(long nowNanos) {
        return nowNanos - touchedNanos > 2 * Timing.DIGEST_TIMEOUT;
    }

    /** Returns when the region itself said what this copy holds. */
    long confirmedNanos() {
        return confirmedNanos;
    }

    void forgive(long pauseNanos, long nowNanos) {
        confirmedNanos = Timing.forgiven(confirmedNanos, pauseNanos, nowNanos);
    }

    Row row(String name) {
        return rows.get(name);
    }

    Collection<Row> rows() {
        return List.copyOf(rows.values());
    }

    Digest digest() {
        return digest;
    }
}
