package org.knapweedhatch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FaultList;
import org.knapweedhatch.ini.Field;
import org.knapweedhatch.ini.Fields;
import org.knapweedhatch.ini.IniFile;
import org.knapweedhatch.ini.Section;
import org.knapweedhatch.world.Address;

/**
 * What the tool needs to reach a deployment.
 *
 * <pre>{@code
 * [platform]
 * address = 127.0.0.1:8500
 * token = demo-token
 *
 * [hosts]
 * edge = 127.0.0.11:8080, 127.0.0.12:8080
 * }</pre>
 *
 * @param platform address of the platform; empty where none is set
 * @param token token that the platform asks for
 * @param hosts entry hosts to ask; empty to take them from the platform's host list
 */
record CliSettings(Optional<Address> platform, String token, List<Address> hosts) {

    private static final String PLATFORM = "platform";
    private static final String HOSTS = "hosts";
    private static final String FLAGS = "command line";

    /** Reads the settings file, where one is named, and lays the flags over it. */
    static Checked<CliSettings> read(CommonOptions options) {
        Checked<CliSettings> file = options.settings == null
                ? Checked.valid(new CliSettings(Optional.empty(), "", List.of()))
                : readFile(Path.of(options.settings));
        return file.then(settings -> settings.overlaid(options));
    }

    private static Checked<CliSettings> readFile(Path path) {
        try {
            return parse(path.toString(), Files.readAllBytes(path));
        } catch (IOException e) {
            FaultList faults = FaultList.of(path.toString());
            faults.add(0, "", "cannot be read");
            return faults.checked();
        }
    }

    static Checked<CliSettings> parse(String file, byte[] bytes) {
        return IniFile.parse(file, bytes).then(CliSettings::check);
    }

    private static Checked<CliSettings> check(IniFile file) {
        FaultList faults = FaultList.of(file.name());
        for (Section section : file.sections()) {
            if (!section.title().equals(PLATFORM) && !section.title().equals(HOSTS)) {
                faults.add(section.line(), section.title(), "unknown section");
            }
        }
        Fields platform = Fields.of(section(file, PLATFORM), faults);
        Optional<Address> address =
                platform.has("address") ? Optional.of(platform.address("address")) : Optional.empty();
        String token = platform.text("token", "");
        platform.rejectOthers();
        Fields hosts = Fields.of(section(file, HOSTS), faults);
        List<Address> edge = hosts.addresses("edge");
        hosts.rejectOthers();
        return faults.isEmpty() ? Checked.valid(new CliSettings(address, token, edge)) : faults.checked();
    }

    private static Section section(IniFile file, String title) {
        return file.section(title).orElse(new Section(List.of(title), 0, List.of()));
    }

    private Checked<CliSettings> overlaid(CommonOptions options) {
        FaultList faults = FaultList.of(FLAGS);
        Fields flags = Fields.of(
                new Section(
                        List.of(FLAGS),
                        0,
                        List.of(
                                new Field("--platform", options.platform == null ? "" : options.platform, 0),
                                new Field("--host", String.join(",", options.hosts), 0))),
                faults);
        Optional<Address> address = options.platform == null ? platform : Optional.of(flags.address("--platform"));
        List<Address> edge = options.hosts.isEmpty() ? hosts : flags.addresses("--host");
        CliSettings all = new CliSettings(address, options.token == null ? token : options.token, edge);
        return faults.isEmpty() ? Checked.valid(all) : faults.checked();
    }
}
