package org.knapweedhatch.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.Service;

/**
 * Load balancer that chooses a target for each request, or refuses the request.
 *
 * <pre>{@code
 * Placement placement = placer.place(request);
 * if (placement instanceof Placement.Sent sent) {
 *     placer.requestEnded(sent, request.object(), AttemptOutcome.ANSWERED, tookNanos);
 * }
 * }</pre>
 *
 * <p>Thread-safe; each service has its own {@link ServicePool} and lock.
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

    /** Replaces the targets; {@code services} gives the request rate that a cold target of each service accepts. */
    public void targets(List<KnownTarget> next, Map<String, Service> services) {
        Map<String, List<KnownTarget>> byService = next.stream()
                .collect(Collectors.groupingBy(target -> target.target().service()));
        byService.keySet().forEach(service -> pools.computeIfAbsent(service, name -> new ServicePool(name, context)));
        pools.forEach((service, pool) -> {
            Service configured = services.get(service);
            double coldRate = configured == null ? Service.UNLIMITED_RATE : configured.coldRate();
            pool.targets(byService.getOrDefault(service, List.of()), coldRate);
        });
        targets = next;
    }

    /** Returns the targets that were set last. */
    public List<KnownTarget> targets() {
        return targets;
    }

    /** Chooses a target for a request and counts the request there, or refuses it. */
    public Placement place(PlacementRequest request) {
        return pool(request.service()).place(request);
    }

    /**
     * Chooses a target within a capacity for a request whose demand was counted before, and counts the request there;
     * {@code preferredTarget} goes first where it is as suitable as others, empty for none.
     */
    public Placement place(PlacementRequest request, Capacity capacity, String preferredTarget) {
        return pool(request.service()).place(request, capacity, preferredTarget);
    }

    /** Counts a request towards the demand of its service, apart from placing it. */
    public void countDemand(String service) {
        pool(service).countDemand();
    }

    /** Returns the number of slots of the open targets of a service. */
    public int slots(String service) {
        return pool(service).slots();
    }

    private ServicePool pool(String service) {
        return pools.computeIfAbsent(service, name -> new ServicePool(name, context));
    }

    /** Records the outcome of a placed request; returns whether the target answered again after being unreachable. */
    public boolean requestEnded(Placement.Sent sent, String object, AttemptOutcome outcome, long tookNanos) {
        return requestEnded(sent, object, outcome, tookNanos, Optional.empty());
    }

    /** Records the outcome of a placed request with the load that the target stated in its response. */
    public boolean requestEnded(
            Placement.Sent sent, String object, AttemptOutcome outcome, long tookNanos, Optional<ServerLoad> load) {
        ServicePool pool = pools.get(sent.target().target().service());
        return pool != null && pool.requestEnded(sent, object, outcome, tookNanos, load);
    }

    /** Returns the region of this host. */
    public String region() {
        return context.region();
    }

    /** Updates the shares served by other regions; must be called several times a second. */
    public void tick() {
        pools.values().forEach(ServicePool::tick);
    }

    /** Returns the number of responses in whose header the target stated its load. */
    public long loadStatements() {
        return pools.values().stream().mapToLong(ServicePool::loadStatements).sum();
    }

    /** Returns the number of services whose requests are placed by what their targets state. */
    public long loadAwareServices() {
        return pools.values().stream().filter(ServicePool::loadAware).count();
    }

    /** Returns the number of requests that were sent to another target than the first of their object. */
    public long sentElsewhere() {
        return pools.values().stream().mapToLong(ServicePool::sentElsewhere).sum();
    }

    /** Returns the requests that this host has in progress, by the hash of the target name. */
    public Map<Integer, Integer> inFlightByTarget() {
        Map<Integer, Integer> counts = new HashMap<>();
        pools.values().forEach(pool -> pool.addInFlight(counts));
        return counts;
    }

    /** Returns the requests per second that arrive at this host, by the hash of the service name. */
    public Map<Integer, Double> demandByService() {
        return pools.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        entry -> Hashes.of(entry.getKey()),
                        entry -> entry.getValue().demand()));
    }
}
