package org.knapweedhatch.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.ini.Section;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/**
 * The settings of one daemon.
 *
 * <pre>{@code
 * Checked<Settings> settings = Settings.read(Path.of("lima-a-1.ini"));
 * }</pre>
 *
 * @param host this host: name, place and addresses
 * @param peers peer addresses to try before the host list is known
 * @param platform address of the platform's object API
 * @param credential credential shown to the platform
 * @param secret secret that all hosts of the deployment share
 * @param drainTime how long a leaving host serves on: at least the longest time to live of a look-up
 * @param stopTimeout how long a stopping host waits for requests in flight after that
 */
public record Settings(
        Host host,
        List<Address> peers,
        Address platform,
        String credential,
        String secret,
        Duration drainTime,
        Duration stopTimeout) {

    private static final String HOST = "host";
    private static final String PLATFORM = "platform";
    private static final String FLEET = "fleet";
    private static final String DRAIN = "drain";
    private static final List<String> SECTIONS = List.of(HOST, PLATFORM, FLEET, DRAIN);
    static final int MIN_SECRET_LENGTH = 16;
    private static final Duration DEFAULT_DRAIN_TIME = Duration.ofSeconds(10);
    private static final Duration DEFAULT_STOP_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration LONGEST_DRAIN = Duration.ofMinutes(10);

    public Settings {
        Validate.notNull(host, "host");
        peers = List.copyOf(peers);
        Validate.notNull(platform, "platform");
        Validate.notEmpty(secret, "secret");
    }

    /** Reads and checks a settings file; an unreadable file is a fault of the file. */
    public static Checked<Settings> read(Path file) {
        return IniFile.read(file).then(Settings::check);
    }

    /** Parses and checks settings; the result lists every fault with its line and field. */
    public static Checked<Settings> parse(String name, byte[] bytes) {
        return IniFile.parse(name, bytes).then(Settings::check);
    }

    /** Checks a parsed file; the result lists every fault with its line and field. */
    public static Checked<Settings> check(IniFile file) {
        FaultList faults = FaultList.of(file.name());
        for (Section section : file.sections()) {
            if (!SECTIONS.contains(section.title())) {
                faults.add(section.line(), section.title(), "unknown section");
            }
        }
        Host host = host(section(file, HOST, faults));
        Fields platform = section(file, PLATFORM, faults);
        Address platformAddress = platform.address("address");
        String credential = platform.text("credential", "");
        platform.rejectOthers();
        Fields fleet = section(file, FLEET, faults);
        String secret = secret(fleet);
        List<Address> peers = fleet.addresses("peers");
        fleet.rejectOthers();
        Fields drain = section(file, DRAIN, faults);
        Duration drainTime = drain.duration("time", Duration.ZERO, LONGEST_DRAIN, DEFAULT_DRAIN_TIME);
        Duration stop = drain.duration("stop-timeout", Duration.ZERO, LONGEST_DRAIN, DEFAULT_STOP_TIMEOUT);
        drain.rejectOthers();
        if (!faults.isEmpty()) {
            return faults.checked();
        }
        return Checked.valid(new Settings(host, peers, platformAddress, credential, secret, drainTime, stop));
    }

    private static Fields section(IniFile file, String title, FaultList faults) {
        Optional<Section> section = file.section(title);
        if (section.isEmpty() && !title.equals(DRAIN)) {
            faults.add(0, title, "section is missing");
        }
        return Fields.of(section.orElse(new Section(List.of(title), 0, List.of())), faults);
    }

    private static Host host(Fields fields) {
        Address edge = fields.address("edge");
        Address peer = fields.address("peer");
        if (fields.valid() && edge.equals(peer)) {
            fields.fault("peer", "peer and edge need different addresses");
        }
        String name = orUnnamed(fields.text("name"));
        String region = orUnnamed(fields.text("region"));
        String domain = orUnnamed(fields.text("failure-domain"));
        fields.rejectOthers();
        return new Host(name, region, domain, edge, peer);
    }

    private static String secret(Fields fleet) {
        String secret = fleet.text("secret");
        if (!secret.isEmpty() && secret.length() < MIN_SECRET_LENGTH) {
            fleet.fault("secret", "secret needs at least " + MIN_SECRET_LENGTH + " characters");
        }
        return orUnnamed(secret);
    }

    static String orUnnamed(String text) {
        return text.isEmpty() ? "unnamed" : text;
    }
}
