package org.knapweedhatch.cli.replay.trace;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.world.Access;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.ClientBlock;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Link;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Service;
import org.knapweedhatch.world.Shift;
import org.knapweedhatch.world.Target;
import org.knapweedhatch.world.Team;

/** The deployments that traces play in, at their sizes of today. */
public enum Deployment {
    /** Chewing-gum removal in Peru: three regions, 35 ms apart, over narrow links. */
    AGENCY(
            List.of("lima", "arequipa", "trujillo"),
            List.of("orders", "closures", "photographs", "history"),
            Duration.ofMillis(5),
            Duration.ofMillis(35),
            300_000_000 / 8,
            7),
    /** Wind reports in Mexico: three regions, 12 ms apart, over wide links. */
    RAFAGA(
            List.of("pacifico", "golfo", "baja"),
            List.of("forecasts", "bookings", "videos", "gusts"),
            Duration.ofMillis(4),
            Duration.ofMillis(12),
            4_000_000_000L / 8,
            5);

    /** One-way time between a caller and the hosts of its nearest region. */
    public static final Duration CLIENT_DELAY = Duration.ofMillis(8);

    private static final int MIN_SLOTS = 3;
    private static final int TARGETS_PER_DOMAIN = 2;
    private static final int CONNECTIONS = 330;
    private static final int TEAMS = 8;
    private static final int LARGE_TEAMS = 3;
    private static final RateLimit LARGE = new RateLimit(600, 300);
    private static final RateLimit SMALL = new RateLimit(60, 60);
    private static final double SHIFT_CAP = 0.5;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final List<String> regions;
    private final List<String> services;
    private final Duration domainDelay;
    private final Duration regionDelay;
    private final long linkBytes;
    private final int maxSlots;

    Deployment(
            List<String> regions,
            List<String> services,
            Duration domainDelay,
            Duration regionDelay,
            long linkBytes,
            int maxSlots) {
        this.regions = regions;
        this.services = services;
        this.domainDelay = domainDelay;
        this.regionDelay = regionDelay;
        this.linkBytes = linkBytes;
        this.maxSlots = maxSlots;
    }

    /** Returns the names of the regions; the platform stands in the first. */
    public List<String> regions() {
        return regions;
    }

    /** Returns the names of the services. */
    public List<String> services() {
        return services;
    }

    /** Returns the names of the teams, the large ones first. */
    public List<String> teams() {
        List<String> teams = new ArrayList<>();
        for (int i = 1; i <= TEAMS; i++) {
            teams.add("team-" + i);
        }
        return teams;
    }

    /** Returns how many of the teams are large. */
    public int largeTeams() {
        return LARGE_TEAMS;
    }

    /** Returns the name of a team's key. */
    public static String keyOf(String team) {
        return "key-" + team;
    }

    /** Returns an address of callers in a region. */
    public String callerIp(String region) {
        return block(region) + ".0.1";
    }

    private String block(String region) {
        return "10." + (regions.indexOf(region) + 1);
    }

    /** Returns one-way time between two regions. */
    public Duration regionDelay(String from, String to) {
        return from.equals(to) ? Duration.ZERO : regionDelay;
    }

    /** Returns one-way time between two failure domains. */
    public Duration delay(String from, String to) {
        if (from.equals(to)) {
            return Duration.ofNanos(200_000);
        }
        return regionOf(from).equals(regionOf(to)) ? domainDelay : regionDelay;
    }

    /** Returns the region of a failure domain. */
    public static String regionOf(String domain) {
        return domain.substring(0, domain.lastIndexOf('-'));
    }

    /** Returns the entry hosts: two in the first failure domain of each region, one in the second. */
    public List<Host> hosts() {
        List<Host> hosts = new ArrayList<>();
        int number = 1;
        for (String region : regions) {
            for (String domain : List.of(region + "-a", region + "-a", region + "-b")) {
                Address edge = new Address("127.0.1." + number, 8080);
                Address peer = new Address("127.0.1." + number, 7070);
                hosts.add(new Host("host-" + number, region, domain, edge, peer));
                number++;
            }
        }
        return hosts;
    }

    /** Returns the configuration in force at the start of a trace, number 1. */
    public Configuration configuration() {
        Configuration.Builder builder = Configuration.builder();
        for (String region : regions) {
            builder.region(new Region(region));
            builder.clientBlock(new ClientBlock(block(region) + ".0.0/16", region));
            builder.domain(new FailureDomain(region + "-a", region));
            builder.domain(new FailureDomain(region + "-b", region));
        }
        services.forEach(service -> addService(builder, service));
        addTeams(builder);
        for (String from : regions) {
            regions.stream().filter(to -> !to.equals(from)).forEach(to -> builder.link(new Link(from, to, linkBytes)));
        }
        return builder.build(1);
    }

    private void addService(Configuration.Builder builder, String service) {
        builder.service(new Service(service, TIMEOUT));
        builder.route(new Route(service, "/" + service, service, Access.KEYED));
        int number = 0;
        for (String region : regions) {
            for (String domain : List.of(region + "-a", region + "-b")) {
                for (int i = 0; i < TARGETS_PER_DOMAIN; i++) {
                    int slots = MIN_SLOTS + number % (maxSlots - MIN_SLOTS + 1);
                    String name = service + "-" + ++number;
                    Address address = new Address("127.2." + services.indexOf(service) + "." + number, 9000);
                    builder.target(new Target(name, service, domain, address, slots, CONNECTIONS));
                }
            }
            for (String to : regions) {
                if (!to.equals(region)) {
                    builder.shift(new Shift(service, region, to, SHIFT_CAP));
                }
            }
        }
    }

    private void addTeams(Configuration.Builder builder) {
        int index = 0;
        for (String team : teams()) {
            builder.team(new Team(team, index++ < LARGE_TEAMS ? LARGE : SMALL));
            builder.key(new ApiKey(keyOf(team), team, Digests.sha256(keyOf(team))));
        }
    }
}
