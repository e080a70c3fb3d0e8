package org.knapweedhatch.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FileFault;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.world.DeploymentLimits;

/**
 * Reads the settings file anew while a host runs.
 *
 * <p>New terms come into force at once. Other changes are named in the log and wait for the next start, and a faulty
 * file changes nothing. For one thread.
 */
final class SettingsFollower {

    private final Path file;
    private final EventLog log;
    private final Consumer<DeploymentLimits> terms;
    private FrontSettings settings;
    private Optional<FileTime> seen;

    private SettingsFollower(Path file, FrontSettings settings, EventLog log, Consumer<DeploymentLimits> terms) {
        this.file = file;
        this.settings = settings;
        this.log = log;
        this.terms = terms;
        seen = modified();
    }

    /** Follows a file from which some settings were read; new terms are handed to {@code terms}. */
    static SettingsFollower of(Path file, FrontSettings settings, EventLog log, Consumer<DeploymentLimits> terms) {
        return new SettingsFollower(file, settings, log, terms);
    }

    /** Reads the file where it has changed since it was last read. */
    void poll() {
        Optional<FileTime> now = modified();
        if (now.isPresent() && !now.equals(seen)) {
            reload("file changed");
        }
    }

    /** Reads the file, for a cause that the log names. */
    void reload(String cause) {
        seen = modified();
        Checked<FrontSettings> read = FrontSettings.read(file);
        if (!read.faults().isEmpty()) {
            for (FileFault fault : read.faults()) {
                line("not reloaded", cause).put("fault", fault.toString()).write();
            }
            return;
        }
        FrontSettings next = read.orThrow();
        line("reloaded", cause)
                .put("newTerms", !next.terms().equals(settings.terms()))
                .put("waitForRestart", String.join(" ", waiting(next)))
                .write();
        terms.accept(next.terms());
        settings = settings.terms(next.terms());
    }

    private EventLog.Line line(String outcome, String cause) {
        return log.line(LineKind.PROCESS).put("outcome", outcome).put("cause", cause);
    }

    /** Returns the settings that differ and take effect at a start only. */
    private List<String> waiting(FrontSettings next) {
        List<String> names = new ArrayList<>();
        addIfNew(names, "host", settings.host(), next.host());
        addIfNew(names, "ready", settings.ready(), next.ready());
        addIfNew(names, "directory", settings.directory(), next.directory());
        addIfNew(names, "metrics", settings.metrics(), next.metrics());
        addIfNew(names, "seeds", settings.seeds(), next.seeds());
        addIfNew(names, "platform", settings.platform(), next.platform());
        addIfNew(names, "heartbeat", settings.heartbeat(), next.heartbeat());
        addIfNew(names, "secret", settings.secret(), next.secret());
        addIfNew(names, "domains", settings.domains(), next.domains());
        return names;
    }

    private static void addIfNew(List<String> names, String name, Object now, Object next) {
        if (!now.equals(next)) {
            names.add(name);
        }
    }

    private Optional<FileTime> modified() {
        try {
            return Optional.of(Files.getLastModifiedTime(file));
        } catch (IOException e) {
            // A file that is being replaced is looked at again the next time.
            return Optional.empty();
        }
    }
}
