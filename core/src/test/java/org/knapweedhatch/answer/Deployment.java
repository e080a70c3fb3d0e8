package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Link;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Service;
import org.knapweedhatch.world.Shift;
import org.knapweedhatch.world.Target;
import org.knapweedhatch.world.Team;

/** A test deployment of the Agency's size: three regions, six failure domains and nine hosts. */
record Deployment(Configuration configuration, List<Host> hosts, Duration betweenDomains, Duration betweenRegions) {

    static final List<String> REGIONS = List.of("lima", "arequipa", "trujillo");
    static final int TEAMS = 8;

    static Deployment of(List<String> services, int targetsPerDomain, double cap, Duration timeout) {
        Configuration.Builder builder = Configuration.builder();
        List<Host> hosts = new ArrayList<>();
        services.forEach(service -> builder.service(new Service(service, timeout)));
        for (String region : REGIONS) {
            builder.region(new Region(region));
            for (String domain : List.of(region + "-a", region + "-b")) {
                builder.domain(new FailureDomain(domain, region));
                int count = domain.endsWith("a") ? 2 : 1;
                for (int i = 1; i <= count; i++) {
                    Address address = new Address("127.0.0.1", 7000 + hosts.size());
                    hosts.add(new Host(domain + "-" + i, region, domain, address, address));
                }
                addTargets(builder, services, domain, targetsPerDomain);
            }
            for (String other : REGIONS) {
                if (!other.equals(region)) {
                    builder.link(new Link(region, other, 37_500_000));
                    services.forEach(service -> builder.shift(new Shift(service, region, other, cap)));
                }
            }
        }
        for (int i = 0; i < TEAMS; i++) {
            builder.team(new Team("team-" + i, new RateLimit(i == 0 ? 400 : 100, 50)));
        }
        return new Deployment(builder.build(1), hosts, Duration.ofMillis(5), Duration.ofMillis(35));
    }

    private static void addTargets(Configuration.Builder builder, List<String> services, String domain, int count) {
        for (String service : services) {
            for (int i = 1; i <= count; i++) {
                Address address = new Address("127.0.0.1", 9000);
                builder.target(new Target(service + "-" + domain + "-" + i, service, domain, address, 2 + 2 * i, 330));
            }
        }
    }

    Roster roster() {
        List<Roster.Entry> entries = hosts.stream()
                .map(h -> new Roster.Entry(h.name(), h.region(), h.domain(), 1, true))
                .toList();
        return Roster.of(1, 1, entries);
    }

    int slots() {
        return configuration.targets().values().stream().mapToInt(Target::slots).sum();
    }

    Duration between(String fromDomain, String toDomain) {
        String fromRegion = configuration.regionOf(fromDomain).orElseThrow();
        String toRegion = configuration.regionOf(toDomain).orElseThrow();
        if (!fromRegion.equals(toRegion)) {
            return betweenRegions;
        }
        return fromDomain.equals(toDomain) ? Duration.ofNanos(200_000) : betweenDomains;
    }
}
