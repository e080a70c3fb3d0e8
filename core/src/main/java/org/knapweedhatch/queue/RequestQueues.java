package org.knapweedhatch.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * The waiting requests of one host, in a bounded queue for each service.
 *
 * <pre>{@code
 * RequestQueues queues = RequestQueues.of(time, placer::slots);
 * if (queues.offer("orders", request) instanceof Offer.Refused refused) {
 *     request.reject(refused.rejection());
 * }
 * queues.slotFreed("orders", "t1", "object-1");
 * }</pre>
 *
 * <p>Not thread-safe. {@link WaitingRequest#reject} must not call back.
 */
public final class RequestQueues {

    private final TimeSource time;
    private final ToIntFunction<String> slots;
    private final Map<String, ServiceQueue> queues = new HashMap<>();

    private RequestQueues(TimeSource time, ToIntFunction<String> slots) {
        this.time = Validate.notNull(time, "time");
        this.slots = Validate.notNull(slots, "slots");
    }

    /** Creates empty queues; {@code slots} returns the number of slots of a service. */
    public static RequestQueues of(TimeSource time, ToIntFunction<String> slots) {
        return new RequestQueues(time, slots);
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> new ServiceQueue(time, () -> slots.applyAsInt(name)));
    }

    /** Starts a new request if there is capacity for it now, lets it wait, or refuses it. */
    public Offer offer(String service, WaitingRequest request) {
        return queue(service).offer(request);
    }

    /** Takes a request out that its caller gave up or whose deadline passed; returns whether it waited. */
    public boolean remove(String service, WaitingRequest request) {
        return queue(service).remove(request);
    }

    /** Records the end of a request of an object at a target, and serves the best waiting request from the slot. */
    public void slotFreed(String service, String target, String object) {
        queue(service).slotFreed(target, object);
    }

    /** Ends waits whose time is due and serves from free capacity; call about every 20 ms while requests wait. */
    public void tick(String service) {
        queue(service).tick();
    }

    /** Offers the capacity of targets that became known. */
    public void targetsChanged() {
        queues.values().forEach(ServiceQueue::targetsChanged);
    }

    /** Takes all requests out because the host stops; each is sent on at once or rejected. */
    public void flush() {
        queues.values().forEach(ServiceQueue::flush);
    }

    /** Returns the number of waiting requests of a service. */
    public int size(String service) {
        ServiceQueue queue = queues.get(service);
        return queue == null ? 0 : queue.size();
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return queues.values().stream().mapToInt(ServiceQueue::size).sum();
    }
}
