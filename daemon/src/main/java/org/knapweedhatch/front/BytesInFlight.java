package org.knapweedhatch.front;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * The bytes of request bodies that targets hold for this host, so that a crowd of large bodies does not take the memory
 * of a target.
 *
 * <pre>{@code
 * if (inFlight.tryAdd(target, bytes)) {
 *     inFlight.remove(target, bytes);
 * }
 * }</pre>
 *
 * <p>For use on one event loop only.
 */
final class BytesInFlight {

    private final long limit;
    private final Map<String, Long> byTarget = new HashMap<>();
    private final LongAdder refused = new LongAdder();

    private BytesInFlight(long limit) {
        this.limit = limit;
    }

    /** Returns a count without bytes; {@code limit} holds for each target. */
    static BytesInFlight of(long limit) {
        return new BytesInFlight(limit);
    }

    /** Adds a body that is to be sent; returns false if there are others and all together pass the limit. */
    boolean tryAdd(String target, long bytes) {
        if (bytes == 0) {
            return true;
        }
        long before = byTarget.getOrDefault(target, 0L);
        if (before > 0 && before + bytes > limit) {
            refused.increment();
            return false;
        }
        byTarget.put(target, before + bytes);
        return true;
    }

    /** Removes a body whose attempt has ended. */
    void remove(String target, long bytes) {
        if (bytes > 0) {
            byTarget.computeIfPresent(target, (name, held) -> held > bytes ? held - bytes : null);
        }
    }

    /** Returns the bytes in flight to a target. */
    long at(String target) {
        return byTarget.getOrDefault(target, 0L);
    }

    /** Returns how many attempts went elsewhere for this limit since the start; thread-safe. */
    long refused() {
        return refused.sum();
    }
}
