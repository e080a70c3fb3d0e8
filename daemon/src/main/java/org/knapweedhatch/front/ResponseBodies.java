package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongPredicate;
import org.knapweedhatch.resource.MemoryBudget;

/**
 * The bodies of responses that are being received, which share a memory budget.
 *
 * <p>When it is used up, callers that make no progress give up theirs; where that is not enough the largest response is
 * given up, so that a target that sends without end does not take the memory that the responses of others need. For use
 * on one event loop only.
 */
final class ResponseBodies {

    private final MemoryBudget budget;
    private final LongPredicate reclaim;
    private final Set<TargetConnection> receiving = new HashSet<>();

    private ResponseBodies(MemoryBudget budget, LongPredicate reclaim) {
        this.budget = budget;
        this.reclaim = reclaim;
    }

    /**
     * Returns a set without bodies; {@code reclaim} makes a caller give up memory unless the largest response, of a
     * number of bytes, is to go instead.
     */
    static ResponseBodies of(MemoryBudget budget, LongPredicate reclaim) {
        return new ResponseBodies(budget, reclaim);
    }

    /** Begins the body of a connection, which must call {@link #end} when it has been received or dropped. */
    BufferedBody begin(TargetConnection connection, ByteBufAllocator allocator) {
        receiving.add(connection);
        return BufferedBody.of(allocator, budget);
    }

    /**
     * Appends to the body of a connection. Returns false if this body had to be given up; its connection has failed
     * then.
     */
    boolean append(TargetConnection connection, BufferedBody body, ByteBuf part) {
        while (!body.append(part)) {
            TargetConnection largest = receiving.stream()
                    .max(Comparator.comparingInt(TargetConnection::bufferedBytes))
                    .orElse(connection);
            if (reclaim.test(largest.bufferedBytes())) {
                continue;
            }
            receiving.remove(largest);
            largest.giveUpBody();
            if (largest == connection) {
                return false;
            }
        }
        return true;
    }

    /** Called when the body of a connection is no longer being received. */
    void end(TargetConnection connection) {
        receiving.remove(connection);
    }
}
