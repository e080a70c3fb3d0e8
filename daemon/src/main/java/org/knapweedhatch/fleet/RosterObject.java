package org.knapweedhatch.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterCodec;
import org.knapweedhatch.steer.RosterUpdater;

/** The roster of slot owners as a shared object of the platform. */
public final class RosterObject implements SharedObject {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final RosterUpdater keeper;
    private final Consumer<Roster> rosterListener;

    private RosterObject(RosterUpdater keeper, Consumer<Roster> rosterListener) {
        this.keeper = keeper;
        this.rosterListener = rosterListener;
    }

    /** Creates the object of a keeper; {@code rosterListener} receives every valid roster that is read. */
    public static RosterObject of(RosterUpdater keeper, Consumer<Roster> rosterListener) {
        return new RosterObject(keeper, rosterListener);
    }

    @Override
    public String name() {
        return RosterCodec.OBJECT;
    }

    @Override
    public void onRead(StoredObject object) {
        Result<Roster> roster = RosterCodec.parse(object.body());
        if (!roster.isOk()) {
            LOG.atWarning().log("fleet: roster ignored: %s", roster.fault());
            return;
        }
        keeper.rosterRead(roster.orThrow(), object.version());
        rosterListener.accept(roster.orThrow());
    }

    @Override
    public void onAbsent() {
        keeper.rosterAbsent();
    }

    @Override
    public Optional<Write> nextWrite() {
        return keeper.nextProposal().map(p -> new Write(p.baseVersion(), RosterCodec.format(p.roster())));
    }

    @Override
    public void onWriteEnded(Outcome outcome) {
        LOG.atFine().log("fleet: roster write ended: %s", outcome);
    }
}
