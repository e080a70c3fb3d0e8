package org.knapweedhatch.front;

import java.util.concurrent.atomic.AtomicLong;
import org.knapweedhatch.helper.Validate;

/** A number of bytes that several buffers may hold together; thread-safe. */
final class MemoryBudget {

    private final long limit;
    private final AtomicLong used = new AtomicLong();

    private MemoryBudget(long limit) {
        this.limit = limit;
    }

    /** Returns an unused budget of a number of bytes. */
    static MemoryBudget of(long limit) {
        Validate.isTrue(limit > 0, "limit must be positive");
        return new MemoryBudget(limit);
    }

    /** Reserves bytes; returns false, and reserves none, if there are not enough left. */
    boolean tryReserve(long bytes) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    /** Returns reserved bytes. */
    void release(long bytes) {
        used.addAndGet(-bytes);
    }

    /** Returns the number of bytes reserved. */
    long used() {
        return used.get();
    }
}
