package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.world.Host;

/**
 * Selects the hosts for callers that state their own region and failure domain.
 *
 * <pre>{@code
 * List<Host> hosts = HostDirectory.of(view).hosts("lima", "lima-cercado");
 * }</pre>
 *
 * <p>Hosts of the caller's failure domain come first, then those of its region if the domain has too few. Hosts of
 * other regions are used only if the caller's region has none. Where the hosts' capacities differ, only the strongest
 * that suffice are named, see {@link EntryHosts}.
 */
public final class HostDirectory {

    /** How long callers may cache an answer; short, because this is the only way they learn that a host is gone. */
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(2);

    /** Maximum number of hosts in an answer. */
    private static final int MAX_HOSTS = 64;

    /** Minimum number of hosts in an answer, if available, so that a caller can fail over to another one. */
    private static final int MIN_HOSTS = 2;

    private final List<Host> servingHosts;
    private final EntryHosts entryHosts;

    private HostDirectory(List<Host> serving, EntryHosts entryHosts) {
        this.servingHosts = serving;
        this.entryHosts = entryHosts;
    }

    /** Creates a directory of the hosts in a membership view that accept new requests, whatever their capacity. */
    public static HostDirectory of(MembershipView view) {
        return of(view, EntryHosts.all());
    }

    /** Creates a directory of the hosts in a membership view that accept new requests, selected by capacity. */
    public static HostDirectory of(MembershipView view, EntryHosts entryHosts) {
        List<Host> serving = Validate.notNull(view, "view").members().values().stream()
                .filter(Member::takesWork)
                .map(Member::host)
                .sorted(Comparator.comparing(Host::name))
                .toList();
        return new HostDirectory(serving, Validate.notNull(entryHosts, "entryHosts"));
    }

    /** Returns the hosts that a caller should use, best first; empty if no host accepts requests. */
    public List<Host> hosts(String region, String domain) {
        List<Host> inDomain = servingHosts.stream()
                .filter(host -> host.domain().equals(domain))
                .toList();
        List<Host> chosen = new ArrayList<>(inDomain);
        if (chosen.size() < MIN_HOSTS) {
            servingHosts.stream()
                    .filter(host -> host.region().equals(region) && !inDomain.contains(host))
                    .forEach(chosen::add);
        }
        List<Host> result = entryHosts.select(chosen.isEmpty() ? servingHosts : chosen, domain);
        return result.subList(0, Math.min(result.size(), MAX_HOSTS));
    }

    /** Returns the names of the hosts selected for the domains of a region; empty if capacity does not decide. */
    public Set<String> selected(String region) {
        if (!entryHosts.inForce()) {
            return Set.of();
        }
        return servingHosts.stream()
                .filter(host -> host.region().equals(region))
                .map(Host::domain)
                .distinct()
                .flatMap(domain -> hosts(region, domain).stream())
                .map(Host::name)
                .collect(Collectors.toUnmodifiableSet());
    }
}
