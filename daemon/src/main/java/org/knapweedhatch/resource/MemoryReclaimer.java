package org.knapweedhatch.resource;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;

/**
 * Decides which connection of a caller gives up its memory when none is left, and when those that wait for memory are
 * read again.
 *
 * <pre>{@code
 * MemoryReclaimer<Connection> reclaimer = MemoryReclaimer.of(budget, connections::all, time);
 * while (!budget.tryReserve(bytes, held) && reclaimer.reclaim(held + bytes)) {}
 * }</pre>
 *
 * <p>For use on one event loop only.
 *
 * @param <H> type of a connection
 */
public final class MemoryReclaimer<H extends MemoryReclaimer.Holder> {

    /** Time between two checks of those that wait; requests at targets return their memory in some hundred ms. */
    private static final long CHECK_NANOS = 100_000_000;

    /** Share of its size that a stalled holder has moved lately at most; one that stops gets there in two seconds. */
    private static final double STALLED_PROGRESS = 1.0 / 16;

    /** A connection that holds memory which it can give up. */
    public interface Holder {
        /** Returns how many bytes become free if the holder is dropped; 0 if it must not be. */
        long droppableBytes();

        /** Returns how many bytes the holder has received or sent lately; older ones count less. */
        long recentBytes();

        /** Returns the time since the holder was opened, in nanoseconds. */
        long ageNanos();

        /** Gives up the memory. */
        void dropForMemory();

        /** Goes on reading. */
        void resumeReading();
    }

    private final MemoryBudget budget;
    private final Supplier<? extends Collection<H>> holders;
    private final TimeSource time;
    private final Set<H> waiting = new LinkedHashSet<>();
    private long lastCheckNanos;
    private long lastUsed;

    private MemoryReclaimer(MemoryBudget budget, Supplier<? extends Collection<H>> holders, TimeSource time) {
        this.budget = budget;
        this.holders = holders;
        this.time = time;
        lastCheckNanos = time.nanos();
    }

    /** Returns a reclaimer for the holders that a supplier names at each use. */
    public static <H extends Holder> MemoryReclaimer<H> of(
            MemoryBudget budget, Supplier<? extends Collection<H>> holders, TimeSource time) {
        return new MemoryReclaimer<>(budget, holders, time);
    }

    /**
     * Drops the holder with the least progress for its size, the larger and older one of equals. Returns false if there
     * is none that can be dropped. Small holders go only if they are stalled, and not for a large one, which would need
     * many of them.
     *
     * @param total bytes that the one which needs memory would hold with it
     */
    public boolean reclaim(long total) {
        boolean small = total <= MemoryBudget.SMALL_BYTES;
        return dropLeast(holder -> isLarge(holder) || small && isStalled(holder))
                .isPresent();
    }

    /**
     * Drops the same holder for a response that is being received, if it is stalled or holds at least as much as the
     * largest response.
     */
    public boolean reclaimForResponse(long largestResponse) {
        return dropLeast(holder -> isStalled(holder) || holder.droppableBytes() >= largestResponse)
                .isPresent();
    }

    /** Drops and returns the same holder if it is stalled. */
    public Optional<H> reclaimStalled() {
        return dropLeast(MemoryReclaimer::isStalled);
    }

    private static boolean isLarge(Holder holder) {
        return holder.droppableBytes() > MemoryBudget.SMALL_BYTES;
    }

    private static boolean isStalled(Holder holder) {
        return progress(holder) <= STALLED_PROGRESS;
    }

    private Optional<H> dropLeast(Predicate<? super H> mayDrop) {
        Optional<H> least = holders.get().stream()
                .filter(holder -> holder.droppableBytes() > 0 && mayDrop.test(holder))
                .min(Comparator.<Holder>comparingDouble(MemoryReclaimer::progress)
                        .thenComparing(Comparator.<Holder>comparingDouble(MemoryReclaimer::sizeAndAge)
                                .reversed()));
        least.ifPresent(holder -> {
            waiting.remove(holder);
            holder.dropForMemory();
        });
        return least;
    }

    private static double progress(Holder holder) {
        return (double) holder.recentBytes() / holder.droppableBytes();
    }

    private long droppableBytes() {
        return holders.get().stream().mapToLong(Holder::droppableBytes).sum();
    }

    private static double sizeAndAge(Holder holder) {
        return (double) holder.droppableBytes() * holder.ageNanos();
    }

    /** Adds a holder that stopped reading; {@link Holder#resumeReading} is called once memory is left again. */
    public void await(H holder) {
        waiting.add(holder);
    }

    /** Removes a holder that no longer waits. */
    public void remove(H holder) {
        waiting.remove(holder);
    }

    /** Returns the number of holders that wait for memory. */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Lets those that wait read again once memory is left. Drops a holder where none was returned since the last check,
     * since all may wait for each other; not while most of it belongs to complete requests, which end by themselves.
     */
    public void tick() {
        if (waiting.isEmpty() || time.nanos() - lastCheckNanos < CHECK_NANOS) {
            return;
        }
        lastCheckNanos = time.nanos();
        if (!budget.isScarce()) {
            List<H> resumed = List.copyOf(waiting);
            waiting.clear();
            resumed.forEach(H::resumeReading);
        } else if (budget.used() >= lastUsed && droppableBytes() >= budget.used() / 2) {
            reclaim(Long.MAX_VALUE);
        }
        lastUsed = budget.used();
    }
}
