package org.knapweedhatch.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.knapweedhatch.platform.StoreVersion;

/** The latest updates of one kind of object, each of which continues the one before; bounded in number and bytes. */
final class UpdateLog {

    private static final int MAX_UPDATES = 16;

    /** Most bytes of all updates but the latest. */
    private static final int MAX_BYTES = 256_000;

    private final Deque<Entry> entries = new ArrayDeque<>();
    private int bytes;

    /** An update and the version that it leads to. */
    private record Entry(StoreUpdate update, StoreVersion reached) {}

    /** Adds an update that led to a version; earlier ones that it does not continue are dropped. */
    synchronized void add(StoreUpdate update, StoreVersion reached) {
        if (!entries.isEmpty() && !entries.getLast().reached().equals(fromVersion(update))) {
            entries.clear();
            bytes = 0;
        }
        while (!entries.isEmpty() && (entries.size() >= MAX_UPDATES || bytes > MAX_BYTES)) {
            bytes -= entries.removeFirst().update().encodedBytes();
        }
        entries.addLast(new Entry(update, reached));
        bytes += update.encodedBytes();
    }

    /** Returns the updates that lead from one version to another, the oldest first; empty if some are unknown. */
    synchronized List<StoreUpdate> between(StoreVersion from, StoreVersion to) {
        if (entries.isEmpty() || !entries.getLast().reached().equals(to)) {
            return List.of();
        }
        return entries.stream()
                .map(Entry::update)
                .dropWhile(update -> !fromVersion(update).equals(from))
                .toList();
    }

    private static StoreVersion fromVersion(StoreUpdate update) {
        return new StoreVersion(update.upTo().era(), update.fromVersion());
    }
}
