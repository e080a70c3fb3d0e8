package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.answer.ClaimMessage.ClaimCopy;
import org.knapweedhatch.answer.ClaimMessage.Verdict;

/**
 * The claims recorded by one replica, each for {@link #RETENTION}. Guarded by the lock of {@link IdempotencyClaims}.
 */
final class ClaimStore {

    /** How long a claim and its response are retained. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /** Limit of the total size of stored bodies; above it, a claim is marked as answered without its response. */
    static final long MAX_BODY_BYTES = 8_000_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long bodyBytes;

    private static final class Entry {
        private final Claimant claimant;
        private final long recordedNanos;
        private boolean released;
        private boolean answered;
        private Optional<StoredResponse> response = Optional.empty();

        Entry(Claimant claimant, long recordedNanos) {
            this.claimant = claimant;
            this.recordedNanos = recordedNanos;
        }
    }

    /** Records a claim if the key is free; returns the vote on it. */
    Verdict claim(String key, Claimant claimant, long now) {
        Entry entry = entries.get(key);
        boolean same = entry != null && entry.claimant.equals(claimant);
        if (entry == null || entry.released && !same) {
            put(key, new Entry(claimant, now));
            return Verdict.GRANTED;
        }
        if (entry.answered) {
            return Verdict.ANSWERED;
        }
        return same && !entry.released ? Verdict.GRANTED : Verdict.PENDING;
    }

    Optional<StoredResponse> storedResponse(String key) {
        Entry entry = entries.get(key);
        return entry == null ? Optional.empty() : entry.response;
    }

    void recordAnswered(String key, Claimant claimant, Optional<StoredResponse> response, long now) {
        Entry entry = entries.get(key);
        if (entry == null || entry.released && !entry.claimant.equals(claimant)) {
            entry = new Entry(claimant, now);
            put(key, entry);
        }
        if (entry.claimant.equals(claimant) && !entry.answered) {
            entry.answered = true;
            entry.response = response.filter(kept -> bodyBytes + kept.body().length <= MAX_BODY_BYTES);
            bodyBytes += responseBytes(entry);
        }
    }

    /** Frees a key for other claimants; the same claimant cannot claim it again. */
    void release(String key, Claimant claimant, long now) {
        Entry entry = entries.get(key);
        if (entry == null) {
            entry = new Entry(claimant, now);
            put(key, entry);
        }
        if (entry.claimant.equals(claimant) && !entry.answered) {
            entry.released = true;
        }
    }

    private void put(String key, Entry entry) {
        Entry old = entries.remove(key);
        bodyBytes -= old == null ? 0 : responseBytes(old);
        entries.put(key, entry);
    }

    private static long responseBytes(Entry entry) {
        return entry.response.map(kept -> (long) kept.body().length).orElse(0L);
    }

    /** Returns every claim that has not been released. */
    List<ClaimCopy> unreleasedClaims(long now) {
        List<ClaimCopy> copied = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (!entry.released) {
                long age = now - entry.recordedNanos;
                copied.add(new ClaimCopy(key, entry.claimant, entry.answered, entry.response, age));
            }
        });
        return copied;
    }

    /** Merges a claim from another replica; an answered claim replaces an unanswered one. */
    void merge(ClaimCopy copy, long now) {
        Entry known = entries.get(copy.key());
        boolean kept = known != null && !known.released && (known.answered || !copy.answered());
        boolean released = known != null && known.released && known.claimant.equals(copy.claimant());
        if (kept || released) {
            return;
        }
        put(copy.key(), new Entry(copy.claimant(), now - copy.ageNanos()));
        if (copy.answered()) {
            recordAnswered(copy.key(), copy.claimant(), copy.response(), now);
        }
    }

    /** Removes the claims older than {@link #RETENTION}. */
    void expire(long now) {
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry entry = oldestFirst.next();
            if (now - entry.recordedNanos < RETENTION.toNanos()) {
                return;
            }
            bodyBytes -= responseBytes(entry);
            oldestFirst.remove();
        }
    }

    int size() {
        return entries.size();
    }
}
