package org.knapweedhatch.cli;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Makes a key of a team, accepts its digest and shows the key once. */
final class KeyGiveCommand implements Command {

    private static final int KEY_BYTES = 32;
    private static final int NAME_DIGITS = 12;
    private static final String PREFIX = "kh_";

    @Argument(metaVar = "TEAM", required = true, usage = "team that gets the key")
    private String team;

    @Option(name = "--name", metaVar = "NAME", usage = "name of the key; made up where none is given")
    private String keyName;

    /** The key, which is shown here and nowhere else. */
    record Report(String name, String team, String key, long configuration) {}

    @Override
    public String name() {
        return "key give";
    }

    @Override
    public String summary() {
        return "Gives a team a new key and shows it once; only its digest is kept.";
    }

    @Override
    public ExitCode run(Session session) {
        String key = newKey();
        String digest = Digests.sha256(key);
        String named = keyName == null ? team + "-" + digest.substring(0, NAME_DIGITS) : keyName;
        if (!ReleaseNote.isName(team) || !ReleaseNote.isName(named)) {
            session.complain("the name of the team or of the key is malformed");
            return ExitCode.USAGE;
        }
        KeyNote note = KeyNote.giving(named, team, digest);
        Result<ReleaseStore> store = session.releases();
        if (!store.isOk()) {
            return session.unreachable(store.fault());
        }
        Acceptance acceptance = store.orThrow().accept(note.parsed());
        if (acceptance instanceof Acceptance.Accepted accepted) {
            Report report = new Report(named, team, key, accepted.number());
            session.print(report, List.of("key " + named + " of team " + team + ", shown only now:", key));
            return ExitCode.OK;
        }
        if (acceptance instanceof Acceptance.Unknown) {
            session.complain("the key is not shown; if " + named + " turns out accepted, withdraw it and give another");
        }
        return Acceptances.report(session, acceptance);
    }

    private static String newKey() {
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
    }
}
