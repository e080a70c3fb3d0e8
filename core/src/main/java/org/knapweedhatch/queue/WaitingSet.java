package org.knapweedhatch.queue;

import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Waiting requests in the order in which they are served, over all and for each target.
 *
 * <p>Not thread-safe.
 */
final class WaitingSet {

    private final NavigableSet<Entry> all = new TreeSet<>(Entry.ORDER);
    private final NavigableMap<String, NavigableSet<Entry>> byTarget = new TreeMap<>();
    private final NavigableMap<Integer, Integer> countByPriority = new TreeMap<>();

    boolean isEmpty() {
        return all.isEmpty();
    }

    void add(Entry entry) {
        all.add(entry);
        byTarget.computeIfAbsent(entry.target(), target -> new TreeSet<>(Entry.ORDER))
                .add(entry);
        countByPriority.merge(entry.priority(), 1, Integer::sum);
    }

    void remove(Entry entry) {
        all.remove(entry);
        byTarget.computeIfPresent(entry.target(), (target, waiting) -> {
            waiting.remove(entry);
            return waiting.isEmpty() ? null : waiting;
        });
        countByPriority.computeIfPresent(entry.priority(), (priority, count) -> count == 1 ? null : count - 1);
    }

    /** Returns the request that is served first; there must be one. */
    Entry first() {
        return all.first();
    }

    /** Returns the request that is served last; there must be one. */
    Entry last() {
        return all.last();
    }

    /** Returns the first request whose object a target probably caches; null if none. */
    Entry firstOf(String target) {
        NavigableSet<Entry> waiting = byTarget.get(target);
        return waiting == null ? null : waiting.first();
    }

    /** Returns whether a request goes before another one. */
    boolean hasBefore(Entry entry) {
        return !all.isEmpty() && Entry.ORDER.compare(all.first(), entry) < 0;
    }

    /** Returns the number of requests of a priority and of more urgent ones. */
    int countUpTo(int priority) {
        int count = 0;
        for (int requests : countByPriority.headMap(priority, true).values()) {
            count += requests;
        }
        return count;
    }

    /** Returns the target after another one in a round over the targets of two sets; one of them must not be empty. */
    String targetAfter(WaitingSet other, String target) {
        String own = after(byTarget, target);
        String others = after(other.byTarget, target);
        if (own == null || others == null) {
            return own == null ? others : own;
        }
        boolean ownWraps = own.compareTo(target) <= 0;
        boolean othersWrap = others.compareTo(target) <= 0;
        if (ownWraps != othersWrap) {
            return ownWraps ? others : own;
        }
        return own.compareTo(others) <= 0 ? own : others;
    }

    private static String after(NavigableMap<String, NavigableSet<Entry>> targets, String target) {
        Map.Entry<String, NavigableSet<Entry>> next = targets.higherEntry(target);
        if (next == null) {
            next = targets.firstEntry();
        }
        return next == null ? null : next.getKey();
    }
}
