package org.knapweedhatch.world;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An immutable, numbered configuration: all resources that operators have declared as of one accepted release.
 *
 * <pre>{@code
 * Configuration next = configuration.toBuilder().team(team).build(configuration.number() + 1);
 * }</pre>
 */
public final class Configuration {

    private static final Configuration EMPTY = new Builder().build(0);

    private final long number;
    private final Map<String, Region> regions;
    private final Map<String, FailureDomain> domains;
    private final Map<String, Service> services;
    private final Map<String, Route> routes;
    private final Map<String, Target> targets;
    private final Map<String, Team> teams;
    private final Map<String, ApiKey> keys;
    private final Map<String, Link> links;
    private final Map<String, Shift> shifts;
    private final Map<String, ClientBlock> clientBlocks;
    private final Set<Drain> drains;
    private final CallerLimits callerLimits;
    private final Map<String, ApiKey> keysByDigest;
    private final Map<String, RouteTable> routesByHost;

    private Configuration(Builder b, long number) {
        this.number = number;
        regions = Map.copyOf(b.regions);
        domains = Map.copyOf(b.domains);
        services = Map.copyOf(b.services);
        routes = Map.copyOf(b.routes);
        targets = Map.copyOf(b.targets);
        teams = Map.copyOf(b.teams);
        keys = Map.copyOf(b.keys);
        links = Map.copyOf(b.links);
        shifts = Map.copyOf(b.shifts);
        clientBlocks = Map.copyOf(b.clientBlocks);
        drains = Set.copyOf(b.drains);
        callerLimits = b.callerLimits;
        routesByHost = routes.values().stream()
                .collect(Collectors.groupingBy(
                        Route::host, Collectors.collectingAndThen(Collectors.toList(), RouteTable::of)));
        keysByDigest =
                keys.values().stream().collect(Collectors.toUnmodifiableMap(ApiKey::digest, Function.identity()));
    }

    /** Returns the configuration before the first release: number 0 and no resources. */
    public static Configuration empty() {
        return EMPTY;
    }

    /** Returns a builder without resources. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the resources of this configuration. */
    public Builder toBuilder() {
        Builder b = new Builder();
        b.regions.putAll(regions);
        b.domains.putAll(domains);
        b.services.putAll(services);
        b.routes.putAll(routes);
        b.targets.putAll(targets);
        b.teams.putAll(teams);
        b.keys.putAll(keys);
        b.links.putAll(links);
        b.shifts.putAll(shifts);
        b.clientBlocks.putAll(clientBlocks);
        b.drains.addAll(drains);
        b.callerLimits = callerLimits;
        return b;
    }

    /** Returns the number of the release that produced this configuration; numbers only increase. */
    public long number() {
        return number;
    }

    /** Returns the regions by name. */
    public Map<String, Region> regions() {
        return regions;
    }

    /** Returns the failure domains by name. */
    public Map<String, FailureDomain> domains() {
        return domains;
    }

    /** Returns the services by name. */
    public Map<String, Service> services() {
        return services;
    }

    /** Returns the routes by name. */
    public Map<String, Route> routes() {
        return routes;
    }

    /** Returns the targets by name. */
    public Map<String, Target> targets() {
        return targets;
    }

    /** Returns the teams by name. */
    public Map<String, Team> teams() {
        return teams;
    }

    /** Returns the API keys by name. */
    public Map<String, ApiKey> keys() {
        return keys;
    }

    /** Returns the links between regions by name, {@code from->to}. */
    public Map<String, Link> links() {
        return links;
    }

    /** Returns the declared traffic shifts by name, {@code service:from->to}. */
    public Map<String, Shift> shifts() {
        return shifts;
    }

    /** Returns the client blocks by CIDR notation. */
    public Map<String, ClientBlock> clientBlocks() {
        return clientBlocks;
    }

    /** Returns the planned drains. */
    public Set<Drain> drains() {
        return drains;
    }

    /** Returns the limits on requests of callers. */
    public CallerLimits callerLimits() {
        return callerLimits;
    }

    /** Returns the API key with a SHA-256 digest; empty if the configuration has none. */
    public Optional<ApiKey> keyByDigest(String digest) {
        return Optional.ofNullable(keysByDigest.get(digest));
    }

    /** Returns the route for any host name that has the longest path prefix of {@code path}; empty if none matches. */
    public Optional<Route> route(String path) {
        return route("", path);
    }

    /**
     * Returns the route with the longest path prefix of {@code path}. Routes of the host name take precedence over
     * routes for any host name.
     */
    public Optional<Route> route(String host, String path) {
        Optional<Route> named = longestMatch(host, path);
        return named.isPresent() || host.isEmpty() ? named : longestMatch("", path);
    }

    private Optional<Route> longestMatch(String host, String path) {
        return routesByHost.getOrDefault(host, RouteTable.empty()).longestMatch(path);
    }

    /** Returns all routes of a host name, then those for any host name, that match a path; the first one is used. */
    public List<Route> matchingRoutes(String host, String path) {
        List<Route> matches = new ArrayList<>(
                routesByHost.getOrDefault(host, RouteTable.empty()).matches(path));
        if (!host.isEmpty()) {
            matches.addAll(routesByHost.getOrDefault("", RouteTable.empty()).matches(path));
        }
        return matches;
    }

    /** Returns the region of a failure domain; empty if the domain is not declared. */
    public Optional<String> regionOf(String domain) {
        return Optional.ofNullable(domains.get(domain)).map(FailureDomain::region);
    }

    /** Returns the link from one region to another; empty if none is declared. */
    public Optional<Link> link(String from, String to) {
        return Optional.ofNullable(links.get(from + "->" + to));
    }

    /**
     * Returns the largest share of a service's traffic that may move between two regions; 0 if no shift is declared.
     */
    public double shiftCap(String service, String from, String to) {
        Shift shift = shifts.get(service + ":" + from + "->" + to);
        return shift == null ? 0 : shift.cap();
    }

    /** Returns the targets of a service. */
    public Collection<Target> targetsOf(String service) {
        return targets.values().stream()
                .filter(t -> t.service().equals(service))
                .toList();
    }

    /** Returns whether the target, its failure domain or its region is being drained. */
    public boolean isDraining(Target target) {
        return drains.contains(new Drain(Drain.Kind.TARGET, target.name())) || isDomainDraining(target.domain());
    }

    /** Returns whether the host, its failure domain or its region is being drained. */
    public boolean isDraining(Host host) {
        return drains.contains(new Drain(Drain.Kind.HOST, host.name())) || isDomainDraining(host.domain());
    }

    private boolean isDomainDraining(String domain) {
        if (drains.contains(new Drain(Drain.Kind.DOMAIN, domain))) {
            return true;
        }
        return regionOf(domain)
                .map(region -> drains.contains(new Drain(Drain.Kind.REGION, region)))
                .orElse(false);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that && number == that.number && hasSameContent(that);
    }

    /** Returns whether another configuration declares the same resources, regardless of its number. */
    public boolean hasSameContent(Configuration that) {
        return regions.equals(that.regions)
                && domains.equals(that.domains)
                && services.equals(that.services)
                && routes.equals(that.routes)
                && targets.equals(that.targets)
                && teams.equals(that.teams)
                && keys.equals(that.keys)
                && links.equals(that.links)
                && shifts.equals(that.shifts)
                && clientBlocks.equals(that.clientBlocks)
                && drains.equals(that.drains)
                && callerLimits.equals(that.callerLimits);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(number);
    }

    /** Builds a configuration. Adding a resource replaces the one of the same kind and name. Not thread-safe. */
    public static final class Builder {
        private final Map<String, Region> regions = new TreeMap<>();
        private final Map<String, FailureDomain> domains = new TreeMap<>();
        private final Map<String, Service> services = new TreeMap<>();
        private final Map<String, Route> routes = new TreeMap<>();
        private final Map<String, Target> targets = new TreeMap<>();
        private final Map<String, Team> teams = new TreeMap<>();
        private final Map<String, ApiKey> keys = new TreeMap<>();
        private final Map<String, Link> links = new TreeMap<>();
        private final Map<String, Shift> shifts = new TreeMap<>();
        private final Map<String, ClientBlock> clientBlocks = new HashMap<>();
        private final Set<Drain> drains = new HashSet<>();
        private CallerLimits callerLimits = CallerLimits.standard();

        private Builder() {}

        /** Adds or replaces a region. */
        public Builder region(Region region) {
            regions.put(region.name(), region);
            return this;
        }

        /** Adds or replaces a failure domain. */
        public Builder domain(FailureDomain domain) {
            domains.put(domain.name(), domain);
            return this;
        }

        /** Adds or replaces a service. */
        public Builder service(Service service) {
            services.put(service.name(), service);
            return this;
        }

        /** Adds or replaces a route. */
        public Builder route(Route route) {
            routes.put(route.name(), route);
            return this;
        }

        /** Adds or replaces a target. */
        public Builder target(Target target) {
            targets.put(target.name(), target);
            return this;
        }

        /** Adds or replaces a team. */
        public Builder team(Team team) {
            teams.put(team.name(), team);
            return this;
        }

        /** Adds or replaces an API key. */
        public Builder key(ApiKey key) {
            keys.put(key.name(), key);
            return this;
        }

        /** Adds or replaces a link. */
        public Builder link(Link link) {
            links.put(link.name(), link);
            return this;
        }

        /** Adds or replaces a shift. */
        public Builder shift(Shift shift) {
            shifts.put(shift.name(), shift);
            return this;
        }

        /** Adds or replaces a client block. */
        public Builder clientBlock(ClientBlock block) {
            clientBlocks.put(block.cidr(), block);
            return this;
        }

        /** Adds a planned drain. */
        public Builder drain(Drain drain) {
            drains.add(drain);
            return this;
        }

        /** Sets the limits on requests of callers. */
        public Builder callerLimits(CallerLimits limits) {
            callerLimits = limits;
            return this;
        }

        /** Removes a planned drain, if it is present. */
        public Builder removeDrain(Drain drain) {
            drains.remove(drain);
            return this;
        }

        /** Returns a read-only view of the API keys added so far, by name. */
        public Map<String, ApiKey> keys() {
            return Collections.unmodifiableMap(keys);
        }

        /** Returns a read-only view of the targets added so far, by name. */
        public Map<String, Target> targets() {
            return Collections.unmodifiableMap(targets);
        }

        /** Returns a read-only view of the routes added so far, by name. */
        public Map<String, Route> routes() {
            return Collections.unmodifiableMap(routes);
        }

        /**
         * Removes a resource by its class and name; returns whether it was present. Drains are removed by
         * {@link #removeDrain}.
         */
        public boolean remove(Class<? extends Record> kind, String name) {
            return recordsOf(kind).remove(name) != null;
        }

        private Map<String, ? extends Record> recordsOf(Class<? extends Record> kind) {
            return Map.<Class<? extends Record>, Map<String, ? extends Record>>of(
                            Region.class, regions,
                            FailureDomain.class, domains,
                            Service.class, services,
                            Route.class, routes,
                            Target.class, targets,
                            Team.class, teams,
                            ApiKey.class, keys,
                            Link.class, links,
                            Shift.class, shifts,
                            ClientBlock.class, clientBlocks)
                    .get(kind);
        }

        /** Builds the configuration with the given number. */
        public Configuration build(long number) {
            return new Configuration(this, number);
        }
    }
}
