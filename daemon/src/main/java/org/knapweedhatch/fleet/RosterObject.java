package org.knapweedhatch.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterCodec;
import org.knapweedhatch.steer.RosterUpdater;

/** The roster of slot owners, as the platform holds it. */
public final class RosterObject implements SharedObject {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final RosterUpdater keeper;
    private final Consumer<Roster> adopted;

    private RosterObject(RosterUpdater keeper, Consumer<Roster> adopted) {
        this.keeper = keeper;
        this.adopted = adopted;
    }

    /** Creates the object of a keeper; {@code adopted} takes every roster that is read. */
    public static RosterObject of(RosterUpdater keeper, Consumer<Roster> adopted) {
        return new RosterObject(keeper, adopted);
    }

    @Override
    public String name() {
        return RosterCodec.OBJECT;
    }

    @Override
    public void read(StoredObject object) {
        Result<Roster> roster = RosterCodec.parse(object.body());
        if (!roster.isOk()) {
            LOG.atWarning().log("fleet: %s", roster.fault());
            return;
        }
        keeper.rosterRead(roster.orThrow(), object.version());
        adopted.accept(roster.orThrow());
    }

    @Override
    public void absent() {
        keeper.rosterAbsent();
    }

    @Override
    public Optional<Write> write() {
        return keeper.nextProposal().map(p -> new Write(p.baseVersion(), RosterCodec.format(p.roster())));
    }

    @Override
    public void ended(Outcome outcome) {
        LOG.atFine().log("fleet: roster %s", outcome);
    }
}
