package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A region's member table as this host sends it to others, with the time of each row's last change. */
final class OutboundTable {

    private record Entry(MemberRow row, long changedNanos) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private long hash;

    /** Replaces the rows with the current ones; returns whether any row changed, came or went. */
    boolean update(Collection<MemberRow> rows, long nowNanos) {
        boolean changed = false;
        Set<String> removed = new HashSet<>(entries.keySet());
        for (MemberRow row : rows) {
            removed.remove(row.name());
            changed |= put(row, nowNanos);
        }
        for (String name : removed) {
            hash -= entries.remove(name).row().hash();
            changed = true;
        }
        return changed;
    }

    private boolean put(MemberRow row, long nowNanos) {
        Entry old = entries.get(row.name());
        if (old != null && old.row().equals(row)) {
            return false;
        }
        entries.put(row.name(), new Entry(row, nowNanos));
        hash += row.hash() - (old == null ? 0 : old.row().hash());
        return true;
    }

    /** Returns the rows that changed within {@link Timing#RECENT_CHANGE}. */
    List<MemberRow> recent(long nowNanos) {
        List<MemberRow> recent = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (nowNanos - entry.changedNanos() < Timing.RECENT_CHANGE) {
                recent.add(entry.row());
            }
        }
        return recent;
    }

    /** Returns all rows. */
    List<MemberRow> all() {
        return entries.values().stream().map(Entry::row).toList();
    }

    long hash() {
        return hash;
    }
}
