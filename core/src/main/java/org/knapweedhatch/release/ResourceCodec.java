package org.knapweedhatch.release;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedhatch.ini.Durations;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.ini.IpNumbers;
import org.knapweedhatch.world.Access;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.ClientBlock;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Drain;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Link;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Service;
import org.knapweedhatch.world.Shift;
import org.knapweedhatch.world.Target;
import org.knapweedhatch.world.Team;

/**
 * Parses and formats the resources of one kind, and stores them in a configuration.
 *
 * @param type class of the resources
 * @param resources returns the resources of a configuration by name
 * @param nameOf returns the name of a resource
 * @param read parses resources from the name and fields of a section
 * @param write returns the fields of a resource
 * @param references returns the references of a resource to others
 * @param put adds or replaces a resource
 * @param <T> the type of the resources
 */
record ResourceCodec<T extends Record>(
        Class<T> type,
        Function<Configuration, Map<String, T>> resources,
        Function<T, String> nameOf,
        BiFunction<String, Fields, List<T>> read,
        Function<T, Map<String, String>> write,
        Function<T, List<ResourceReference>> references,
        BiConsumer<Configuration.Builder, T> put) {

    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final double MAX_RATE = 1e9;
    private static final double MIN_RATE = 1e-3;
    private static final long MAX_BURST = 1_000_000_000;
    private static final long MAX_BYTES_PER_SECOND = 10_000_000_000_000L;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

    Map<String, String> fieldsOf(Record resource) {
        return write.apply(type.cast(resource));
    }

    String nameOfRecord(Record resource) {
        return nameOf.apply(type.cast(resource));
    }

    List<ResourceReference> referencesOf(Record resource) {
        return references.apply(type.cast(resource));
    }

    void putRecord(Configuration.Builder builder, Record resource) {
        put.accept(builder, type.cast(resource));
    }

    void removeRecord(Configuration.Builder builder, Record resource) {
        if (resource instanceof Drain drain) {
            builder.removeDrain(drain);
        } else {
            builder.remove(type, nameOfRecord(resource));
        }
    }

    List<T> readOrReportFault(String name, Fields fields) {
        try {
            List<T> parsed = read.apply(name, fields);
            return fields.valid() ? parsed : List.of();
        } catch (IllegalArgumentException e) {
            if (fields.valid()) {
                fields.fault("", String.valueOf(e.getMessage()));
            }
            return List.of();
        }
    }

    static ResourceCodec<Region> region() {
        return new ResourceCodec<>(
                Region.class,
                Configuration::regions,
                Region::name,
                (name, f) -> List.of(new Region(name)),
                r -> Map.of(),
                r -> List.of(),
                Configuration.Builder::region);
    }

    static ResourceCodec<FailureDomain> domain() {
        return new ResourceCodec<>(
                FailureDomain.class,
                Configuration::domains,
                FailureDomain::name,
                (name, f) -> List.of(new FailureDomain(name, f.text("region"))),
                d -> Map.of("region", d.region()),
                d -> List.of(new ResourceReference("region", ResourceKind.REGION, d.region())),
                Configuration.Builder::domain);
    }

    static ResourceCodec<Service> service() {
        return new ResourceCodec<>(
                Service.class,
                Configuration::services,
                Service::name,
                (name, f) -> List.of(new Service(name, f.duration("timeout", MIN_TIMEOUT, MAX_TIMEOUT))),
                s -> Map.of("timeout", Durations.format(s.timeout())),
                s -> List.of(),
                Configuration.Builder::service);
    }

    static ResourceCodec<Route> route() {
        return new ResourceCodec<>(
                Route.class,
                Configuration::routes,
                Route::name,
                ResourceCodec::readRoute,
                r -> Map.of("path", r.path(), "service", r.service(), "access", Fields.written(r.access())),
                r -> List.of(new ResourceReference("service", ResourceKind.SERVICE, r.service())),
                Configuration.Builder::route);
    }

    private static List<Route> readRoute(String name, Fields f) {
        String path = f.text("path");
        if (!path.matches("/[\\x21-\\x7e&&[^?#;]]*")) {
            f.fault("path", "not a valid path that starts with a slash: " + path);
        }
        Access access = f.choice("access", Access.class);
        return List.of(new Route(name, path, f.text("service"), access));
    }

    static ResourceCodec<Target> target() {
        return new ResourceCodec<>(
                Target.class,
                Configuration::targets,
                Target::name,
                ResourceCodec::readTarget,
                ResourceCodec::writeTarget,
                t -> List.of(
                        new ResourceReference("service", ResourceKind.SERVICE, t.service()),
                        new ResourceReference("domain", ResourceKind.DOMAIN, t.domain())),
                Configuration.Builder::target);
    }

    private static List<Target> readTarget(String name, Fields f) {
        int slots = (int) f.whole("slots", 1, MAX_SLOTS);
        int connections = (int) f.whole("connections", 1, MAX_CONNECTIONS);
        String service = f.text("service");
        String domain = f.text("domain");
        return List.of(new Target(name, service, domain, f.address("address"), slots, connections));
    }

    private static Map<String, String> writeTarget(Target t) {
        return Map.of(
                "service", t.service(),
                "domain", t.domain(),
                "address", t.address().toString(),
                "slots", String.valueOf(t.slots()),
                "connections", String.valueOf(t.connections()));
    }

    static ResourceCodec<Team> team() {
        return new ResourceCodec<>(
                Team.class,
                Configuration::teams,
                Team::name,
                ResourceCodec::readTeam,
                t -> Map.of(
                        "rate", decimal(t.rateLimit().rate()),
                        "burst", String.valueOf(t.rateLimit().burst())),
                t -> List.of(),
                Configuration.Builder::team);
    }

    private static List<Team> readTeam(String name, Fields f) {
        double rate = f.number("rate", MIN_RATE, MAX_RATE);
        long burst = f.whole("burst", 1, MAX_BURST);
        return List.of(new Team(name, new RateLimit(rate, burst)));
    }

    static ResourceCodec<ApiKey> key() {
        return new ResourceCodec<>(
                ApiKey.class,
                Configuration::keys,
                ApiKey::name,
                ResourceCodec::readKey,
                k -> Map.of("team", k.team(), "digest", k.digest()),
                k -> List.of(new ResourceReference("team", ResourceKind.TEAM, k.team())),
                Configuration.Builder::key);
    }

    private static List<ApiKey> readKey(String name, Fields f) {
        String team = f.text("team");
        String digest = f.text("digest");
        if (!digest.matches("[0-9a-f]{64}")) {
            f.fault(
                    "digest",
                    "not 64 lower-case hexadecimal digits; a note contains the SHA-256 of a key, never the key itself");
        }
        return List.of(new ApiKey(name, team, digest));
    }

    static ResourceCodec<Link> link() {
        return new ResourceCodec<>(
                Link.class,
                Configuration::links,
                Link::name,
                ResourceCodec::readLink,
                l -> Map.of("bytes-per-second", String.valueOf(l.bytesPerSecond())),
                l -> List.of(
                        new ResourceReference("", ResourceKind.REGION, l.from()),
                        new ResourceReference("", ResourceKind.REGION, l.to())),
                Configuration.Builder::link);
    }

    private static List<Link> readLink(String name, Fields f) {
        long bytes = f.whole("bytes-per-second", 1, MAX_BYTES_PER_SECOND);
        String[] regions = parseRegionPair(name);
        return List.of(new Link(regions[0], regions[1], bytes));
    }

    static ResourceCodec<Shift> shift() {
        return new ResourceCodec<>(
                Shift.class,
                Configuration::shifts,
                Shift::name,
                ResourceCodec::readShift,
                s -> Map.of("cap", decimal(s.cap())),
                s -> List.of(
                        new ResourceReference("", ResourceKind.SERVICE, s.service()),
                        new ResourceReference("", ResourceKind.REGION, s.from()),
                        new ResourceReference("", ResourceKind.REGION, s.to())),
                Configuration.Builder::shift);
    }

    private static List<Shift> readShift(String name, Fields f) {
        double cap = f.number("cap", 0, 1);
        int colon = name.indexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("name of a shift must have the form service:from->to: " + name);
        }
        String[] regions = parseRegionPair(name.substring(colon + 1));
        return List.of(new Shift(name.substring(0, colon), regions[0], regions[1], cap));
    }

    private static String[] parseRegionPair(String path) {
        String[] regions = path.split("->", -1);
        if (regions.length != 2) {
            throw new IllegalArgumentException("two regions must be given as from->to: " + path);
        }
        return regions;
    }

    static ResourceCodec<Drain> drain() {
        return new ResourceCodec<>(
                Drain.class,
                ResourceCodec::drains,
                d -> Fields.written(d.kind()) + " " + d.name(),
                (name, f) -> List.of(drain(name)),
                d -> Map.of(),
                ResourceCodec::drainReferences,
                Configuration.Builder::drain);
    }

    private static Map<String, Drain> drains(Configuration c) {
        return c.drains().stream().collect(Collectors.toMap(d -> Fields.written(d.kind()) + " " + d.name(), d -> d));
    }

    private static Drain drain(String name) {
        String[] words = name.split(" ");
        for (Drain.Kind kind : Drain.Kind.values()) {
            if (words.length == 2 && Fields.written(kind).equals(words[0])) {
                return new Drain(kind, words[1]);
            }
        }
        throw new IllegalArgumentException(
                "name of a drain must be target, host, domain or region, followed by a name: " + name);
    }

    private static List<ResourceReference> drainReferences(Drain drain) {
        return switch (drain.kind()) {
            case TARGET -> List.of(new ResourceReference("", ResourceKind.TARGET, drain.name()));
            case DOMAIN -> List.of(new ResourceReference("", ResourceKind.DOMAIN, drain.name()));
            case REGION -> List.of(new ResourceReference("", ResourceKind.REGION, drain.name()));
            case HOST -> List.of();
        };
    }

    static ResourceCodec<ClientBlock> blocks() {
        return new ResourceCodec<>(
                ClientBlock.class,
                Configuration::clientBlocks,
                ClientBlock::cidr,
                ResourceCodec::readBlocks,
                b -> Map.of("region", b.region()),
                b -> List.of(new ResourceReference("cidrs", ResourceKind.REGION, b.region())),
                Configuration.Builder::clientBlock);
    }

    private static List<ClientBlock> readBlocks(String region, Fields f) {
        Map<String, ClientBlock> blocks = new TreeMap<>();
        for (String cidr : f.list("cidrs")) {
            String canonical = IpNumbers.block(cidr).orElse("");
            if (canonical.isEmpty()) {
                f.fault("cidrs", "not a CIDR block, or bits set below its prefix: " + cidr);
            } else if (blocks.put(canonical, new ClientBlock(canonical, region)) != null) {
                f.fault("cidrs", "duplicate CIDR block: " + cidr);
            }
        }
        if (blocks.isEmpty()) {
            f.fault("cidrs", "field is missing or empty");
        }
        return List.copyOf(blocks.values());
    }

    private static String decimal(double value) {
        return new BigDecimal(Double.toString(value)).stripTrailingZeros().toPlainString();
    }
}
