package org.knapweedhatch.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.place.Capacity;
import org.knapweedhatch.place.Placement;
import org.knapweedhatch.queue.Rejection.Cause;

/**
 * The requests of one service that wait for a slot, for loads near and above the capacity of its targets.
 *
 * <p>Requests that can still be answered on time are served by priority, then by the time left to be on time. The
 * others are served by priority and deadline, from slots that none of the first wants. A request waits for the target
 * that caches its object, where it takes a third of the work. Each event costs a bounded number of questions to the
 * placer.
 *
 * <p>Not thread-safe.
 */
final class ServiceQueue {

    /** Requests that may wait for each slot of the service. */
    private static final int WAITING_PER_SLOT = 2;

    /** Requests that may wait for a service with very few slots. */
    private static final int MIN_BOUND = 8;

    /** Waiting requests that are started before a less urgent new one; bounds the cost of an arrival. */
    private static final int MAX_STARTS_BEFORE_ARRIVAL = 2;

    /** Targets whose waiting requests are offered to the placer at each tick; bounds the cost of a tick. */
    private static final int MAX_TARGETS_PER_TICK = 4;

    private final TimeSource time;
    private final IntSupplier slots;
    private final ServedShares shares;
    private final NamedReturns returns;
    private final Lifetimes lifetimes;
    private final WaitForecast forecast;
    private final Map<WaitingRequest, Entry> entries = new IdentityHashMap<>();
    private final WaitingSet onTime = new WaitingSet();
    private final WaitingSet late = new WaitingSet();
    private final NavigableSet<Entry> byTime = new TreeSet<>(Entry.BY_TIME);
    private final Map<String, ObjectInProgress> objects = new HashMap<>();
    private String lastTriedTarget = "";
    private long nextNumber;

    /** The target at which requests of an object are in progress, and how many there are. */
    private record ObjectInProgress(String target, int requests) {}

    /** Creates an empty queue of a service with a number of slots, which may change. */
    ServiceQueue(TimeSource time, IntSupplier slots) {
        this.time = time;
        this.slots = slots;
        shares = new ServedShares(time);
        returns = new NamedReturns(time);
        lifetimes = new Lifetimes(time);
        forecast = new WaitForecast(time);
    }

    int size() {
        return entries.size();
    }

    /** Starts a new request, lets it wait, or refuses it. */
    Offer offer(WaitingRequest request) {
        QueuedRequest facts = request.facts();
        long spent = lifetimes.spentNanos(facts);
        OptionalLong firstArrival = returns.firstArrival(facts);
        boolean starved = shares.isStarved(facts);
        boolean precedes = starved || shares.isOutranked(facts);
        shares.offered(facts);
        forecast.arrived(facts.priority());
        long beganNanos = firstArrival.orElse(facts.arrivedNanos() - spent);
        Entry entry = new Entry(request, facts, nextNumber++, beganNanos, firstArrival.isPresent());
        entry.precede(starved, precedes);
        serveMoreUrgent(entry);
        Placement placement = start(entry, Capacity.CACHED_IN_TIME);
        return placement instanceof Placement.Held held ? waitOrRefuse(entry, held) : offerOf(placement);
    }

    /** Starts waiting requests that are more urgent than a new one and want the same capacity. */
    private void serveMoreUrgent(Entry entry) {
        for (int i = 0; i < MAX_STARTS_BEFORE_ARRIVAL && onTime.hasBefore(entry); i++) {
            if (!onTime.first().takesAnyTarget() || !serve(onTime.first())) {
                break;
            }
        }
        if (onTime.hasBefore(entry) && entry.request().start(Capacity.NONE, "") instanceof Placement.Held held) {
            Entry rival = onTime.firstOf(held.firstTarget());
            if (rival != null && Entry.ORDER.compare(rival, entry) < 0) {
                serve(rival);
            }
        }
    }

    private Offer waitOrRefuse(Entry entry, Placement.Held held) {
        long now = time.nanos();
        if (held.ownInFlight() == 0) {
            // No slot will become free for this host, so the request takes its turn in the queue of a target.
            return offerOf(start(entry, Capacity.ANY));
        }
        entry.forecast(held, now);
        if (entry.startUntilNanos() < now) {
            return refused(entry, Cause.DEADLINE);
        }
        if (entry.isInTime() && now + onTimeWaitNanos(entry, held) > entry.onTimeUntilNanos()) {
            Placement placement = start(entry, Capacity.SLOT_IN_TIME);
            if (!(placement instanceof Placement.Held)) {
                return offerOf(placement);
            }
            entry.becomeLate(precedes(entry));
        }
        if (!entry.isInTime() && (entry.isFirst() || onTime.isEmpty())) {
            Placement placement = start(entry, Capacity.CACHED_SLOT);
            if (!(placement instanceof Placement.Held)) {
                return offerOf(placement);
            }
        }
        if (isHopeless(entry)) {
            return refused(entry, Cause.FORECAST);
        }
        if (!makeRoom(entry)) {
            return refused(entry, Cause.FULL);
        }
        add(entry);
        return new Offer.Waits();
    }

    private double onTimeWaitNanos(Entry entry, Placement.Held held) {
        double assumedSlot = (double) held.response().toNanos() / held.ownInFlight();
        double all = forecast.waitNanos(entry.facts().priority(), onTime.countUpTo(entry.priority()), assumedSlot);
        return entry.takesAnyTarget() ? all : Math.max(all, held.queueWait().toNanos());
    }

    /** Returns whether a request that will be late waits in vain, as few slots are left by those on time. */
    private boolean isHopeless(Entry entry) {
        double wait = forecast.lateWaitNanos(late.countUpTo(entry.priority()));
        return !entry.isFirst() && time.nanos() + wait > entry.lateUntilNanos();
    }

    private static Offer offerOf(Placement placement) {
        if (placement instanceof Placement.Refused refused) {
            Cause cause = switch (refused.cause()) {
                case NO_TARGET -> Cause.NO_TARGET;
                case STOPPING -> Cause.STOPPING;
                case BUSY -> Cause.HELD;
            };
            return new Offer.Refused(new Rejection(cause, refused.retryAfter()));
        }
        return new Offer.Started();
    }

    private Offer refused(Entry entry, Cause cause) {
        return new Offer.Refused(rejection(entry, cause));
    }

    private Rejection rejection(Entry entry, Cause cause) {
        double wait = forecast.waitNanos(entry.facts().priority(), onTime.countUpTo(entry.priority()), 0);
        return new Rejection(cause, returns.name(entry.facts(), entry.beganNanos(), wait, forecast.slotNanos()));
    }

    /** Rejects the least urgent request where the queue is full; returns false if that is the new one. */
    private boolean makeRoom(Entry entry) {
        if (entries.size() < Math.max(MIN_BOUND, WAITING_PER_SLOT * slots.getAsInt())) {
            return true;
        }
        Entry last = late.isEmpty() ? onTime.last() : late.last();
        if (last.isFirst() && !entry.isFirst()
                || last.isFirst() == entry.isFirst() && Entry.ORDER.compare(entry, last) > 0) {
            return false;
        }
        remove(last);
        last.request().reject(rejection(last, Cause.FULL));
        return true;
    }

    private void add(Entry entry) {
        entries.put(entry.request(), entry);
        entry.schedule(time.nanos());
        (entry.isFirst() ? onTime : late).add(entry);
        byTime.add(entry);
    }

    private void remove(Entry entry) {
        entries.remove(entry.request());
        byTime.remove(entry);
        (entry.isFirst() ? onTime : late).remove(entry);
    }

    /** Removes a request whose caller withdrew it or whose deadline passed; returns whether it waited. */
    boolean remove(WaitingRequest request) {
        Entry entry = entries.get(request);
        if (entry == null) {
            return false;
        }
        remove(entry);
        shares.withdrawn(entry.facts());
        return true;
    }

    private Placement start(Entry entry, Capacity capacity) {
        String object = entry.facts().object();
        ObjectInProgress inProgress = objects.get(object);
        Placement placement = entry.request().start(capacity, inProgress == null ? "" : inProgress.target());
        if (placement instanceof Placement.Sent sent) {
            shares.served(entry.facts());
            if (!entry.isInTime()) {
                forecast.lateStarted();
            }
            if (!object.isEmpty()) {
                int requests = inProgress == null ? 0 : inProgress.requests();
                objects.put(object, new ObjectInProgress(sent.target().name(), requests + 1));
            }
        }
        return placement;
    }

    /** Starts a waiting request if there is capacity for it; returns whether it left the queue. */
    private boolean serve(Entry entry) {
        return serve(entry, entry.capacity());
    }

    private boolean serve(Entry entry, Capacity capacity) {
        remove(entry);
        Placement placement = start(entry, capacity);
        if (placement instanceof Placement.Held) {
            add(entry);
            return false;
        }
        if (offerOf(placement) instanceof Offer.Refused refused) {
            Rejection rejection = refused.rejection();
            entry.request().reject(rejection.cause() == Cause.HELD ? rejection(entry, Cause.HELD) : rejection);
        }
        return true;
    }

    /** Records the end of a request that was started here, and serves the best waiting one from its slot. */
    void slotFreed(String target, String object) {
        forecast.slotFreed();
        objects.computeIfPresent(
                object,
                (key, inProgress) -> inProgress.requests() == 1
                        ? null
                        : new ObjectInProgress(inProgress.target(), inProgress.requests() - 1));
        serveOne(target);
    }

    /** Serves one waiting request from a slot that probably became free at a target. */
    private boolean serveOne(String target) {
        Set<Entry> tries = new LinkedHashSet<>();
        if (!onTime.isEmpty() && onTime.first().takesAnyTarget()) {
            tries.add(onTime.first());
        }
        tries.add(onTime.firstOf(target));
        if (!late.isEmpty() && late.first().takesAnyTarget()) {
            tries.add(late.first());
        }
        tries.add(late.firstOf(target));
        tries.remove(null);
        for (Entry entry : tries) {
            if (serve(entry)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Gives requests whose time is due their last chance, and serves what other hosts left free; call while any waits.
     */
    void tick() {
        long now = time.nanos();
        while (!byTime.isEmpty() && byTime.first().checkNanos() <= now) {
            Entry due = byTime.first();
            if (!due.isInTime()) {
                endWait(due);
            } else if (now < due.onTimeUntilNanos()) {
                serve(due, Capacity.SLOT_IN_TIME);
            } else if (!serve(due)) {
                becomeLate(due);
            }
        }
        serveSome();
        shares.prune();
        forecast.prune();
    }

    /** Starts a request whose wait is over in any capacity, unless requests that can be on time want it. */
    private void endWait(Entry entry) {
        boolean mayTakeAny = entry.isFirst() || onTime.isEmpty();
        if (!mayTakeAny || !serve(entry, Capacity.ANY)) {
            remove(entry);
            entry.request().reject(rejection(entry, Cause.HELD));
        }
    }

    /** Returns whether fairness requires that a request goes before others that will be late. */
    private boolean precedes(Entry entry) {
        return shares.isStarved(entry.facts()) || shares.isOutranked(entry.facts());
    }

    private void becomeLate(Entry entry) {
        remove(entry);
        entry.becomeLate(precedes(entry));
        if (isHopeless(entry)) {
            entry.request().reject(rejection(entry, Cause.FORECAST));
        } else {
            add(entry);
        }
    }

    /** Offers free capacity to waiting requests of some targets, other ones each time. */
    private void serveSome() {
        for (int i = 0; i < MAX_TARGETS_PER_TICK && !entries.isEmpty(); i++) {
            String target = onTime.targetAfter(late, lastTriedTarget);
            lastTriedTarget = target;
            boolean served = serveOne(target);
            while (served) {
                served = serveOne(target);
            }
        }
    }

    /** Takes all requests out because the host stops: each is sent on as if it had just come, or rejected. */
    void flush() {
        List<Entry> all = new ArrayList<>(entries.values());
        all.sort(Entry.ORDER);
        for (Entry entry : all) {
            if (entries.containsKey(entry.request()) && !serve(entry, Capacity.ANY)) {
                remove(entry);
                entry.request().reject(new Rejection(Cause.STOPPING, Duration.ZERO));
            }
        }
    }

    /** Offers free capacity to waiting requests, since the targets have changed. */
    void targetsChanged() {
        serveSome();
    }
}
