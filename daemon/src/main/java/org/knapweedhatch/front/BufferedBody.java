package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import org.knapweedhatch.resource.MemoryBudget;

/**
 * A body that grows while it is received, and whose memory counts in a budget until it is released.
 *
 * <p>Parts are copied, since a small one would keep the whole buffer in memory that it was received in.
 */
final class BufferedBody extends CompositeByteBuf {

    private final MemoryBudget budget;
    private long reserved;

    private BufferedBody(ByteBufAllocator allocator, MemoryBudget budget) {
        super(allocator, true, Integer.MAX_VALUE);
        this.budget = budget;
    }

    /** Returns an empty body. */
    static BufferedBody of(ByteBufAllocator allocator, MemoryBudget budget) {
        return new BufferedBody(allocator, budget);
    }

    /** Appends a copy of the readable bytes; returns false, and appends nothing, if the budget is used up. */
    boolean append(ByteBuf part) {
        int missing = part.readableBytes() - writableBytes();
        if (missing > 0) {
            int grown = alloc().calculateNewCapacity(capacity() + missing, maxCapacity());
            long growth = grown - capacity();
            if (!budget.tryReserve(growth, reserved)) {
                return false;
            }
            reserved += growth;
            capacity(grown);
        }
        writeBytes(part, part.readerIndex(), part.readableBytes());
        return true;
    }

    /** Returns the number of bytes reserved for this body. */
    long reserved() {
        return reserved;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        budget.release(reserved);
    }
}
