package org.knapweedhatch.cli;

import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.release.ConfigurationDiff;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.world.Configuration;
import org.kohsuke.args4j.Argument;

/** Shows what a release note would change. */
final class ReleaseDiffCommand implements Command {

    @Argument(metaVar = "NOTE", required = true, usage = "release note")
    private String file;

    @Override
    public String name() {
        return "release diff";
    }

    @Override
    public String summary() {
        return "Shows what a release note would change in the latest configuration.";
    }

    @Override
    public ExitCode run(Session session) {
        Checked<ReleaseNote> note = NoteFile.read(file);
        if (!note.isValid()) {
            return session.refuse(note.faults());
        }
        Result<Configuration> current = session.releases().then(ReleaseStore::current);
        if (!current.isOk()) {
            return session.unreachable(current.fault());
        }
        Checked<Configuration> next = note.orThrow().apply(current.orThrow());
        if (!next.isValid()) {
            return session.refuse(next.faults());
        }
        ConfigurationDiff difference = ConfigurationDiff.between(current.orThrow(), next.orThrow());
        session.print(difference, lines(difference));
        return ExitCode.OK;
    }

    private static List<String> lines(ConfigurationDiff difference) {
        return difference.changes().stream()
                .map(ConfigurationDiff.Change::toString)
                .toList();
    }
}
