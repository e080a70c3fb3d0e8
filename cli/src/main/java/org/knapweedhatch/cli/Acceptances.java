package org.knapweedhatch.cli;

import java.util.List;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.ConfigurationDiff;

/** Prints how an acceptance ended and gives its exit code. */
final class Acceptances {

    private Acceptances() {}

    /** The outcome as JSON. */
    record Report(String outcome, long number, boolean again, List<String> changedUnderIt, String fault) {}

    static ExitCode report(Session session, Acceptance acceptance) {
        if (acceptance instanceof Acceptance.Accepted accepted) {
            String line = accepted.alreadyAccepted() ? "already accepted as " : "accepted as ";
            Report report = new Report("accepted", accepted.number(), accepted.alreadyAccepted(), List.of(), "");
            session.print(report, List.of(line + accepted.number()));
            return ExitCode.OK;
        }
        if (acceptance instanceof Acceptance.Rejected rejected) {
            return session.refuse(rejected.faults());
        }
        if (acceptance instanceof Acceptance.Conflict conflict) {
            return conflict(session, conflict.difference());
        }
        if (acceptance instanceof Acceptance.Outdated outdated) {
            session.print(new Report("outdated", outdated.latest(), false, List.of(), ""), List.of());
            session.complain(
                    "not accepted: configuration " + outdated.latest() + " is the latest, not " + outdated.expected());
            return ExitCode.CONFLICT;
        }
        if (acceptance instanceof Acceptance.Failed failed) {
            return failed(session, failed.fault());
        }
        Fault fault = ((Acceptance.Unknown) acceptance).fault();
        session.print(new Report("unknown", 0, false, List.of(), fault.toString()), List.of());
        session.complain("not known whether accepted; send the same note again to find out: " + fault);
        return ExitCode.UNKNOWN;
    }

    private static ExitCode conflict(Session session, ConfigurationDiff since) {
        List<String> changes =
                since.changes().stream().map(ConfigurationDiff.Change::toString).toList();
        session.print(new Report("conflict", since.to(), false, changes, ""), List.of());
        session.complain("not accepted: configuration " + since.to() + " came first; since " + since.from() + ":");
        changes.forEach(change -> session.complain("  " + change));
        return ExitCode.CONFLICT;
    }

    private static ExitCode failed(Session session, Fault fault) {
        session.print(new Report("failed", 0, false, List.of(), fault.toString()), List.of());
        session.complain("not accepted, nothing was changed: " + fault);
        return PlatformError.CONFLICT.matches(fault) ? ExitCode.CONFLICT : ExitCode.UNREACHABLE;
    }
}
