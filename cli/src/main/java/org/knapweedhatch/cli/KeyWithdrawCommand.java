package org.knapweedhatch.cli;

import org.knapweedhatch.fault.Result;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.kohsuke.args4j.Argument;

/** Withdraws a key. */
final class KeyWithdrawCommand implements Command {

    @Argument(metaVar = "NAME", required = true, usage = "name of the key")
    private String keyName;

    @Override
    public String name() {
        return "key withdraw";
    }

    @Override
    public String summary() {
        return "Withdraws a key; it stops working on open connections too.";
    }

    @Override
    public ExitCode run(Session session) {
        if (!ReleaseNote.isName(keyName)) {
            session.complain("the name of the key is malformed");
            return ExitCode.USAGE;
        }
        KeyNote note = KeyNote.withdrawing(keyName);
        Result<ReleaseStore> store = session.releases();
        return store.isOk()
                ? Acceptances.report(session, store.orThrow().accept(note.parsed()))
                : session.unreachable(store.fault());
    }
}
