package org.knapweedhatch.cli;

import java.util.OptionalLong;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Accepts a release note. */
final class ReleaseAcceptCommand implements Command {

    @Argument(metaVar = "NOTE", required = true, usage = "release note")
    private String file;

    @Option(name = "--after", metaVar = "N", usage = "accept only on top of configuration N")
    private Long after;

    @Override
    public String name() {
        return "release accept";
    }

    @Override
    public String summary() {
        return "Accepts a release note; the same note again is reported as accepted already.";
    }

    @Override
    public ExitCode run(Session session) {
        Checked<ReleaseNote> note = NoteFile.read(file);
        if (!note.isValid()) {
            return session.refuse(note.faults());
        }
        Result<ReleaseStore> store = session.releases();
        if (!store.isOk()) {
            return session.unreachable(store.fault());
        }
        OptionalLong expected = after == null ? OptionalLong.empty() : OptionalLong.of(after);
        return Acceptances.report(session, store.orThrow().accept(note.orThrow(), expected));
    }
}
