package org.knapweedhatch.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Service;

/**
 * Chooses the target of each request, or refuses it.
 *
 * <pre>{@code
 * Placement placement = placer.place(ask);
 * if (placement instanceof Placement.Sent sent) {
 *     placer.ended(sent, ask.object(), Ending.ANSWERED, tookNanos);
 * }
 * }</pre>
 *
 * <p>Each service is a shard under its own lock. Safe for use by many threads.
 */
public final class Placer {

    private final PlacerContext context;
    private final Map<String, ServicePool> pools = new ConcurrentHashMap<>();
    private volatile List<KnownTarget> targets = List.of();

    private Placer(PlacerContext context) {
        this.context = context;
    }

    /** Creates a placer without targets. */
    public static Placer of(PlacerContext context) {
        return new Placer(Validate.notNull(context, "context"));
    }

    /** Sets the targets, and the services that say how many requests a cold target bears. */
    public void targets(List<KnownTarget> next, Map<String, Service> services) {
        Map<String, List<KnownTarget>> byService = next.stream()
                .collect(Collectors.groupingBy(target -> target.target().service()));
        byService.keySet().forEach(service -> pools.computeIfAbsent(service, name -> new ServicePool(name, context)));
        pools.forEach((service, pool) -> {
            Service known = services.get(service);
            double coldRate = known == null ? Service.UNLIMITED_RATE : known.coldRate();
            pool.targets(byService.getOrDefault(service, List.of()), coldRate);
        });
        targets = next;
    }

    /** Returns the targets as they were set last. */
    public List<KnownTarget> targets() {
        return targets;
    }

    /** Chooses a target for a request. */
    public Placement place(PlacementRequest ask) {
        return pools.computeIfAbsent(ask.service(), name -> new ServicePool(name, context))
                .place(ask);
    }

    /** Takes in how a placed request ended; returns whether the target is back after it was unreachable. */
    public boolean requestEnded(Placement.Sent sent, String object, AttemptOutcome ending, long tookNanos) {
        ServicePool pool = pools.get(sent.target().target().service());
        return pool != null && pool.requestEnded(sent, object, ending, tookNanos);
    }

    /** Does what is due by time; to be called several times a second. */
    public void tick() {
        pools.values().forEach(ServicePool::tick);
    }

    /** Returns the requests in progress from here, by the hash of the target's name. */
    public Map<Integer, Integer> inFlightByTarget() {
        Map<Integer, Integer> uses = new HashMap<>();
        pools.values().forEach(pool -> pool.addInFlight(uses));
        return uses;
    }

    /** Returns the requests per second that arrive here, by the hash of the service's name. */
    public Map<Integer, Double> demandByService() {
        return pools.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        entry -> Hashes.of(entry.getKey()),
                        entry -> entry.getValue().demand()));
    }
}
