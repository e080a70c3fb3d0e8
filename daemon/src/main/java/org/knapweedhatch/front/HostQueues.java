package org.knapweedhatch.front;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.queue.Offer;
import org.knapweedhatch.queue.RequestQueues;
import org.knapweedhatch.queue.WaitingRequest;

/**
 * The requests that wait at this host for a slot of a target, on the event loop of the front server.
 *
 * <p>A service whose requests wait has one timer. For use on the event loop only, except {@link #size()}.
 */
final class HostQueues {

    /** Milliseconds between two looks at the waiting requests of a service; a fraction of what a request may wait. */
    private static final long TICK_MS = 20;

    private final RequestQueues queues;
    private final EventLoop loop;
    private final Set<String> servicesWithTimer = new HashSet<>();
    private volatile int size;

    HostQueues(FrontContext context, EventLoop loop) {
        this.loop = loop;
        queues = RequestQueues.of(context.time(), service -> context.placer().slots(service));
    }

    /** Returns the number of waiting requests. */
    int size() {
        return size;
    }

    /** Starts a new request, lets it wait, or refuses it. */
    Offer offer(String service, WaitingRequest request) {
        Offer offer = queues.offer(service, request);
        changed(service);
        return offer;
    }

    /** Takes a request out that is not to be sent any more; returns whether it waited. */
    boolean remove(String service, WaitingRequest request) {
        boolean waited = queues.remove(service, request);
        changed(service);
        return waited;
    }

    /** Serves a waiting request from the slot of an attempt that ended, after the current task of the event loop. */
    void attemptEnded(String service, String target, String object) {
        if (!loop.isShuttingDown()) {
            loop.execute(() -> {
                queues.slotFreed(service, target, object);
                changed(service);
            });
        }
    }

    /** Offers targets that became known to waiting requests. */
    void targetsChanged() {
        if (size > 0) {
            queues.targetsChanged();
            size = queues.size();
        }
    }

    /** Sends on or rejects all that waits. */
    void flush() {
        queues.flush();
        size = queues.size();
    }

    private void changed(String service) {
        size = queues.size();
        if (queues.size(service) > 0 && !loop.isShuttingDown() && servicesWithTimer.add(service)) {
            loop.schedule(() -> tick(service), TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick(String service) {
        servicesWithTimer.remove(service);
        queues.tick(service);
        changed(service);
    }
}
