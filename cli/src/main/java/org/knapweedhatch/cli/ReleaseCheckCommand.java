package org.knapweedhatch.cli;

import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.world.Configuration;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Checks a release note and changes nothing. */
final class ReleaseCheckCommand implements Command {

    @Argument(metaVar = "NOTE", required = true, usage = "release note")
    private String file;

    @Option(name = "--alone", usage = "check against nothing, without the platform")
    private boolean alone;

    /** What the note would make. */
    record Report(String note, String digest, long after, long next) {}

    @Override
    public String name() {
        return "release check";
    }

    @Override
    public String summary() {
        return "Checks a release note against the latest configuration and changes nothing.";
    }

    @Override
    public ExitCode run(Session session) {
        Checked<ReleaseNote> note = NoteFile.read(file);
        if (!note.isValid()) {
            return session.refuse(note.faults());
        }
        Result<Configuration> current =
                alone ? Result.ok(Configuration.empty()) : session.releases().then(ReleaseStore::current);
        if (!current.isOk()) {
            return session.unreachable(current.fault());
        }
        Checked<Configuration> next = note.orThrow().apply(current.orThrow());
        if (!next.isValid()) {
            return session.refuse(next.faults());
        }
        Report report = new Report(
                file,
                note.orThrow().digest(),
                current.orThrow().number(),
                next.orThrow().number());
        session.print(report, List.of(file + ": good; it would make configuration " + report.next()));
        return ExitCode.OK;
    }
}
