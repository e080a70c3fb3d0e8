package org.knapweedhatch.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedhatch.hedge.HedgeSettings;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.ini.Section;
import org.knapweedhatch.resource.ConnectionLimits;
import org.knapweedhatch.steer.BalancingMode;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.DeploymentLimits;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.HostCapacity;

/**
 * The settings of a host that runs on the users' platform.
 *
 * <pre>{@code
 * Checked<FrontSettings> settings = FrontSettings.read(Path.of("front.ini"));
 * }</pre>
 *
 * @param host this host: name, place, addresses and capacity
 * @param descriptors files and connections that the process may have open
 * @param bufferMb megabytes that requests and responses may hold together; 0 for a share of the heap's limit
 * @param ready address at which the platform asks whether the host is ready
 * @param directory address at which callers ask which hosts to use
 * @param metrics address of the admin pages
 * @param seeds peer addresses to try before other hosts are known
 * @param platform address of the platform's store
 * @param heartbeat how often targets renew their registration
 * @param secret secret that all hosts of the deployment share
 * @param domains region of each failure domain
 * @param terms what the operator grants the system
 * @param balancing whether the capacity of hosts decides which ones callers use
 * @param queue whether requests wait at the host for a slot of a target
 * @param hedging limit on second attempts of requests that may be repeated
 */
public record FrontSettings(
        Host host,
        int descriptors,
        int bufferMb,
        Address ready,
        Address directory,
        Address metrics,
        List<Address> seeds,
        Address platform,
        Duration heartbeat,
        String secret,
        Map<String, String> domains,
        DeploymentLimits terms,
        BalancingMode balancing,
        BalancingMode queue,
        HedgeSettings hedging) {

    private static final String HOST = "host";
    private static final String LISTEN = "listen";
    private static final String PLATFORM = "platform";
    private static final String FLEET = "fleet";
    private static final String DOMAINS = "domains";
    private static final String TERMS = "terms";
    private static final String BALANCING = "balancing";
    private static final String QUEUE = "queue";
    private static final String HEDGING = "hedging";
    private static final List<String> SECTIONS =
            List.of(HOST, LISTEN, PLATFORM, FLEET, DOMAINS, TERMS, BALANCING, QUEUE, HEDGING);
    private static final Duration SHORTEST = Duration.ofMillis(1);
    private static final Duration LONGEST = Duration.ofMinutes(10);
    private static final double MOST = 1_000_000;
    /** Fewer leave no room beside a host's own files and connections. */
    private static final int LEAST_DESCRIPTORS = 64;

    private static final double LEAST_SHIFT = 0.001;
    private static final double MAX_PERCENTILE = 99.9;

    /** Greatest number of cores, share of them and Mbit/s of a link. */
    private static final double MOST_CAPACITY = 100_000;

    private static final double MOST_MEMORY_MB = 1_000_000_000;

    /** Copies the collections. */
    public FrontSettings {
        Validate.notNull(host, "host");
        seeds = List.copyOf(seeds);
        domains = Map.copyOf(domains);
        Validate.notNull(terms, "terms");
        Validate.notNull(balancing, "balancing");
        Validate.notNull(queue, "queue");
        Validate.notNull(hedging, "hedging");
    }

    /** Returns these settings with other terms. */
    public FrontSettings terms(DeploymentLimits granted) {
        return new FrontSettings(
                host,
                descriptors,
                bufferMb,
                ready,
                directory,
                metrics,
                seeds,
                platform,
                heartbeat,
                secret,
                domains,
                granted,
                balancing,
                queue,
                hedging);
    }

    /** Returns whether a file has the sections of these settings rather than those of {@link Settings}. */
    public static boolean fits(IniFile file) {
        return file.section(LISTEN).isPresent();
    }

    /** Reads and checks a settings file; an unreadable file is a fault of the file. */
    public static Checked<FrontSettings> read(Path file) {
        return IniFile.read(file).then(FrontSettings::check);
    }

    /** Checks a parsed file; the result lists every fault with its line and field. */
    public static Checked<FrontSettings> check(IniFile file) {
        FaultList faults = FaultList.of(file.name());
        for (Section section : file.sections()) {
            if (!SECTIONS.contains(section.title())) {
                faults.add(section.line(), section.title(), "unknown section");
            }
        }
        Fields listen = section(file, LISTEN, faults);
        Fields platform = section(file, PLATFORM, faults);
        Fields fleet = section(file, FLEET, faults);
        Fields host = section(file, HOST, faults);
        FrontSettings settings = new FrontSettings(
                host(host),
                (int) host.whole("descriptors", LEAST_DESCRIPTORS, (long) MOST, ConnectionLimits.DEFAULT_DESCRIPTORS),
                (int) host.whole("buffer-mb", 0, (long) MOST, 0),
                listen.address("ready"),
                listen.address("directory"),
                listen.address("metrics"),
                fleet.addresses("seeds"),
                platform.address("address"),
                platform.duration("heartbeat", SHORTEST, LONGEST),
                secret(fleet),
                domains(section(file, DOMAINS, faults)),
                terms(section(file, TERMS, faults)),
                mode(optionalSection(file, BALANCING, faults), BalancingMode.AUTO),
                mode(optionalSection(file, QUEUE, faults), BalancingMode.OFF),
                hedging(optionalSection(file, HEDGING, faults)));
        host.rejectOthers();
        listen.rejectOthers();
        platform.rejectOthers();
        fleet.rejectOthers();
        return faults.isEmpty() ? Checked.valid(settings) : faults.checked();
    }

    private static Fields section(IniFile file, String title, FaultList faults) {
        Optional<Section> section = file.section(title);
        if (section.isEmpty()) {
            faults.add(0, title, "section is missing");
        }
        return optionalSection(file, title, faults);
    }

    private static Fields optionalSection(IniFile file, String title, FaultList faults) {
        return Fields.of(file.section(title).orElse(new Section(List.of(title), 0, List.of())), faults);
    }

    private static Host host(Fields fields) {
        return new Host(
                Settings.orUnnamed(fields.text("name")),
                Settings.orUnnamed(fields.text("region")),
                Settings.orUnnamed(fields.text("failure-domain")),
                fields.address("edge"),
                fields.address("peer"),
                capacity(fields));
    }

    /** Returns the stated capacity; a key that is absent or empty states nothing. */
    private static HostCapacity capacity(Fields fields) {
        double share = optionalNumber(fields, "cpu-share", MOST_CAPACITY, 1);
        double cores = optionalNumber(fields, "cores", MOST_CAPACITY, 0);
        return HostCapacity.of(
                Math.min(share * cores, MOST_CAPACITY),
                optionalNumber(fields, "memory-mb", MOST_MEMORY_MB, 0),
                optionalNumber(fields, "link-mbps", MOST_CAPACITY, 0));
    }

    private static double optionalNumber(Fields fields, String name, double most, double otherwise) {
        return fields.list(name).isEmpty() ? otherwise : fields.number(name, 0, most);
    }

    private static BalancingMode mode(Fields fields, BalancingMode otherwise) {
        BalancingMode mode = fields.choice("mode", BalancingMode.class, otherwise);
        fields.rejectOthers();
        return mode;
    }

    private static HedgeSettings hedging(Fields fields) {
        HedgeSettings hedging = new HedgeSettings(
                fields.number("share", 0, 100, HedgeSettings.off().sharePercent()),
                fields.number("percentile", 1, MAX_PERCENTILE, HedgeSettings.DEFAULT_PERCENTILE));
        fields.rejectOthers();
        return hedging;
    }

    private static String secret(Fields fleet) {
        String secret = fleet.text("secret");
        if (!secret.isEmpty() && secret.length() < Settings.MIN_SECRET_LENGTH) {
            fleet.fault("secret", "secret needs at least " + Settings.MIN_SECRET_LENGTH + " characters");
        }
        return Settings.orUnnamed(secret);
    }

    private static Map<String, String> domains(Fields fields) {
        Map<String, String> domains = new HashMap<>();
        fields.section().fields().forEach(field -> domains.put(field.name(), fields.text(field.name())));
        return domains;
    }

    private static DeploymentLimits terms(Fields fields) {
        DeploymentLimits usual = DeploymentLimits.standard();
        DeploymentLimits terms = new DeploymentLimits(
                fields.duration("stop-grace", Duration.ZERO, LONGEST, usual.stopGrace()),
                fields.duration("drain-time", Duration.ZERO, LONGEST, usual.drainTime()),
                fields.duration("longest-look-up", Duration.ZERO, LONGEST, usual.longestLookUp()),
                fields.number("retry-share", 0, MOST, usual.retryShare()),
                fields.number("retry-slack", 0, MOST, usual.retrySlack()),
                fields.duration("retry-window", SHORTEST, LONGEST, usual.retryWindow()),
                fields.duration("rate-window", SHORTEST, LONGEST, usual.rateWindow()),
                fields.number("rate-overage", 0, MOST, usual.rateOverage()),
                fields.number("rate-slack", 0, MOST, usual.rateSlack()),
                fields.number("cold-overage", 1, MOST, usual.coldOverage()),
                fields.number("cold-slack", 0, MOST, usual.coldSlack()),
                fields.number("region-shift", LEAST_SHIFT, 1, usual.regionShift()));
        fields.rejectOthers();
        return terms;
    }
}
