package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.Problem;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterCodec;
import org.knapweedhatch.steer.RosterKeeper;
import org.knapweedhatch.steer.RosterProposal;

/** Reads the roster from the platform and writes this host's proposals; each call may block. */
final class RosterFeed {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ObjectApi platform;
    private final RosterKeeper keeper;
    private final Consumer<Roster> adopted;
    private long lastNumber;

    RosterFeed(ObjectApi platform, RosterKeeper keeper, Consumer<Roster> adopted) {
        this.platform = platform;
        this.keeper = keeper;
        this.adopted = adopted;
    }

    /** Reads the roster as it is now. */
    void read() {
        Result<StoredObject> object = platform.read(RosterCodec.OBJECT);
        if (object.isOk()) {
            take(object.orThrow());
        } else if (Problem.MISSING.is(object.fault())) {
            keeper.absent();
        }
    }

    /** Takes in the roster's object as a watch or a read gave it. */
    synchronized void take(StoredObject object) {
        Result<Roster> parsed = RosterCodec.parse(object.body());
        if (!parsed.isOk()) {
            LOG.atSevere().log("roster: %s", parsed.fault());
            return;
        }
        Roster roster = parsed.orThrow();
        keeper.read(roster, object.version());
        if (roster.number() > lastNumber) {
            lastNumber = roster.number();
            adopted.accept(roster);
        }
    }

    /** Writes the proposal that is due, if there is one, and reads back what came of it. */
    void propose() {
        Optional<RosterProposal> due = keeper.proposal();
        if (due.isEmpty()) {
            return;
        }
        Result<StoredObject> written = write(due.get());
        if (written.isOk()) {
            LOG.atInfo().log("roster: wrote number %d", due.get().roster().number());
            take(written.orThrow());
        } else {
            read();
        }
    }

    private Result<StoredObject> write(RosterProposal proposal) {
        byte[] body = RosterCodec.format(proposal.roster());
        if (proposal.baseVersion() == 0) {
            return platform.create(RosterCodec.OBJECT, body);
        }
        return platform.update(RosterCodec.OBJECT, body, proposal.baseVersion());
    }
}
