package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A region's table as this host tells it to others, with the time of each row's last change. */
final class OutboundTable {

    private record Entry(Row row, long changedNanos) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private long hash;

    /** Takes the present rows in; returns whether any of them changed. */
    boolean update(Collection<Row> rows, long nowNanos) {
        boolean changed = false;
        Set<String> gone = new HashSet<>(entries.keySet());
        for (Row row : rows) {
            gone.remove(row.name());
            changed |= put(row, nowNanos);
        }
        for (String name : gone) {
            hash -= entries.remove(name).row().hash();
            changed = true;
        }
        return changed;
    }

    private boolean put(Row row, long nowNanos) {
        Entry old = entries.get(row.name());
        if (old != null && old.row().equals(row)) {
            return false;
        }
        entries.put(row.name(), new Entry(row, nowNanos));
        hash += row.hash() - (old == null ? 0 : old.row().hash());
        return true;
    }

    /** Returns the rows that changed lately. */
    List<Row> recent(long nowNanos) {
        List<Row> recent = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (nowNanos - entry.changedNanos() < Timing.RECENT) {
                recent.add(entry.row());
            }
        }
        return recent;
    }

    /** Returns all rows. */
    List<Row> all() {
        return entries.values().stream().map(Entry::row).toList();
    }

    long hash() {
        return hash;
    }
}
