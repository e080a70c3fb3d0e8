package org.knapweedhatch.resource;

import java.util.concurrent.atomic.AtomicLong;
import org.knapweedhatch.helper.Validate;

/**
 * The bytes that a host may hold for callers and targets together; thread-safe.
 *
 * <p>A part is kept for holders of little, so that large bodies leave room for small requests and their responses.
 */
public final class MemoryBudget {

    /** Most bytes that one holder may have of the part that is kept for small ones. */
    public static final long SMALL_BYTES = 128 << 10;

    /** The part kept for small holders is this fraction of the limit. */
    private static final int SMALL_FRACTION = 8;

    /** Bytes are scarce while less than this fraction of the limit is left to large holders. */
    private static final int SCARCE_FRACTION = 8;

    private final long limit;
    private final long largeLimit;
    private final long scarceLimit;
    private final AtomicLong used = new AtomicLong();

    private MemoryBudget(long limit) {
        this.limit = limit;
        largeLimit = limit - limit / SMALL_FRACTION;
        scarceLimit = largeLimit - limit / SCARCE_FRACTION;
    }

    /** Returns an unused budget of a number of bytes. */
    public static MemoryBudget of(long limit) {
        Validate.isTrue(limit > 0, "limit must be positive");
        return new MemoryBudget(limit);
    }

    /**
     * Reserves bytes; returns false, and reserves none, if there are not enough left.
     *
     * @param held bytes that the holder has reserved before
     */
    public boolean tryReserve(long bytes, long held) {
        long bound = held + bytes <= SMALL_BYTES ? limit : largeLimit;
        if (used.addAndGet(bytes) <= bound) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    /** Returns reserved bytes. */
    public void release(long bytes) {
        used.addAndGet(-bytes);
    }

    /** Returns whether so little is left that no more input of large requests should be read. */
    public boolean isScarce() {
        return used.get() > scarceLimit;
    }

    /** Returns whether that holds for a holder of some bytes: a large one that has no more than all others together. */
    public boolean isScarceFor(long held) {
        return held > SMALL_BYTES && isScarce() && 2 * held <= used.get();
    }

    /** Returns the number of bytes reserved. */
    public long used() {
        return used.get();
    }
}
