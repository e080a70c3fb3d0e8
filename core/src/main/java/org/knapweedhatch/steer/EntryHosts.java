package org.knapweedhatch.steer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.HostCapacity;

/**
 * Selects the strongest hosts that suffice for the demand of a failure domain.
 *
 * <p>Callers pick one of the named hosts at random, so each gets the same part of the requests and the weakest one is
 * the first to be full. Hosts are therefore named until the weakest carries its part; a pair of large hosts may carry
 * more than the same pair with a few small ones.
 *
 * <p>A function of its arguments alone; immutable. Hosts with the same view and demand select the same hosts.
 */
public final class EntryHosts {

    /** Requests per second that one core carries. */
    private static final double REQUESTS_PER_CORE = 250;

    /** Bursts of so many times the demand are carried. */
    private static final double BURST_FACTOR = 2;

    /** Ratio of the most cores to the fewest, or of the widest link to a slow one, from which hosts are unequal. */
    private static final int UNEQUAL_FACTOR = 2;

    /** Fraction of the cores that is named while demand is unknown. */
    private static final double UNKNOWN_DEMAND_FRACTION = 0.5;

    private static final int MIN_HOSTS = 2;
    private static final double MILLI = 1_000;

    private final boolean unequal;
    private final boolean inForce;
    private final int fewestMilliCores;
    private final int widestLinkKbps;
    private final Map<String, Double> demandByDomain;

    private EntryHosts(Collection<HostCapacity> capacities, Map<String, Double> demandByDomain, BalancingMode mode) {
        List<Integer> cores = capacities.stream()
                .filter(HostCapacity::statesCores)
                .map(HostCapacity::milliCores)
                .sorted()
                .toList();
        fewestMilliCores = cores.isEmpty() ? 0 : cores.get(0);
        unequal = !cores.isEmpty() && cores.get(cores.size() - 1) >= (long) UNEQUAL_FACTOR * fewestMilliCores;
        widestLinkKbps =
                capacities.stream().mapToInt(HostCapacity::linkKbps).max().orElse(0);
        inForce = mode.applies(unequal);
        this.demandByDomain = Map.copyOf(demandByDomain);
    }

    /**
     * Creates the selection for a fleet.
     *
     * @param view all hosts; those that do not serve count for whether the fleet's hosts are equal
     * @param demandByDomain requests per second of the failure domains whose demand is known
     * @param mode whether to select by capacity at all
     */
    public static EntryHosts of(MembershipView view, Map<String, Double> demandByDomain, BalancingMode mode) {
        List<HostCapacity> capacities = Validate.notNull(view, "view").members().values().stream()
                .map(Member::host)
                .map(Host::capacity)
                .toList();
        return new EntryHosts(capacities, demandByDomain, mode);
    }

    /** Creates the selection that names every host. */
    public static EntryHosts all() {
        return new EntryHosts(List.of(), Map.of(), BalancingMode.OFF);
    }

    /** Returns whether the stated cores of the fleet's hosts differ by a factor of two or more. */
    public boolean unequal() {
        return unequal;
    }

    /** Returns whether hosts are selected by capacity. */
    public boolean inForce() {
        return inForce;
    }

    /**
     * Returns the hosts that callers of a failure domain should use, strongest first; all hosts if the selection is not
     * in force or none of them states its cores.
     *
     * @param hosts serving hosts to select from
     * @param domain domain of the callers, whose demand counts beside that of the hosts' domains
     */
    public List<Host> select(List<Host> hosts, String domain) {
        boolean stated = hosts.stream().anyMatch(host -> host.capacity().statesCores());
        if (!inForce || !stated || hosts.size() <= MIN_HOSTS) {
            return hosts;
        }
        List<Host> ordered = hosts.stream()
                .sorted(Comparator.comparing(this::hasSlowLink)
                        .thenComparing(this::milliCores, Comparator.reverseOrder())
                        .thenComparing(host -> !host.domain().equals(domain))
                        .thenComparing(Host::name))
                .toList();
        List<String> domains = Stream.concat(Stream.of(domain), hosts.stream().map(Host::domain))
                .distinct()
                .toList();
        boolean known = hosts.stream().map(Host::domain).allMatch(demandByDomain::containsKey);
        double demand = domains.stream()
                .mapToDouble(name -> demandByDomain.getOrDefault(name, 0.0))
                .sum();
        int count = Math.max(MIN_HOSTS, sufficient(ordered, demand));
        return ordered.subList(0, known ? count : Math.max(count, carryingHalf(ordered)));
    }

    /** Returns for how many hosts an equal part of the demand fits each; those that carry most if none suffice. */
    private int sufficient(List<Host> ordered, double demand) {
        double needed = demand * BURST_FACTOR / REQUESTS_PER_CORE * MILLI;
        long weakest = Long.MAX_VALUE;
        long most = 0;
        int best = 0;
        for (int count = 1; count <= ordered.size(); count++) {
            weakest = Math.min(weakest, milliCores(ordered.get(count - 1)));
            long carried = count * weakest;
            if (count >= MIN_HOSTS && carried >= needed) {
                return count;
            }
            if (carried >= most) {
                most = carried;
                best = count;
            }
        }
        return best;
    }

    private int carryingHalf(List<Host> ordered) {
        double needed = ordered.stream().mapToLong(this::milliCores).sum() * UNKNOWN_DEMAND_FRACTION;
        long carried = 0;
        int count = 0;
        while (carried < needed) {
            carried += milliCores(ordered.get(count++));
        }
        return count;
    }

    /** Returns the cores of a host; one that states none counts as the weakest, so that it is not overloaded. */
    private int milliCores(Host host) {
        return host.capacity().statesCores() ? host.capacity().milliCores() : fewestMilliCores;
    }

    private boolean hasSlowLink(Host host) {
        int linkKbps = host.capacity().linkKbps();
        return linkKbps > 0 && (long) linkKbps * UNEQUAL_FACTOR <= widestLinkKbps;
    }
}
