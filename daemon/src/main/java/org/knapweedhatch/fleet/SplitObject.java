package org.knapweedhatch.fleet;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.Split;
import org.knapweedhatch.limit.SplitOutcome;
import org.knapweedhatch.limit.SplitProposal;
import org.knapweedhatch.platform.StoredObject;

/** The split of all limits between the hosts as a shared object of the platform. */
final class SplitObject implements SharedObject {

    static final String NAME = PREFIX + "split";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Limiter limiter;
    private long objectVersion;
    private Split stored = Split.absent();
    private boolean known;
    private SplitProposal pendingProposal;
    private String unsettledText = "";

    SplitObject(Limiter limiter) {
        this.limiter = limiter;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public synchronized void onRead(StoredObject object) {
        Split split;
        try {
            split = Split.parse(object.text());
        } catch (IllegalArgumentException e) {
            LOG.atWarning().log("fleet: stored split of the limits is malformed: %s", e.getMessage());
            return;
        }
        if (object.version() >= objectVersion) {
            objectVersion = object.version();
            stored = split;
            known = true;
        }
        limiter.split(split);
    }

    @Override
    public synchronized void onAbsent() {
        known = true;
        limiter.split(Split.absent());
    }

    @Override
    public synchronized Optional<Write> nextWrite() {
        Optional<SplitProposal> proposal = limiter.proposal();
        if (proposal.isEmpty()) {
            return Optional.empty();
        }
        pendingProposal = proposal.get();
        byte[] body = pendingProposal.split().text().getBytes(StandardCharsets.UTF_8);
        return Optional.of(new Write(expectedVersion(), body));
    }

    private long expectedVersion() {
        if (pendingProposal.baseVersion() == 0) {
            return 0;
        }
        return known && stored.version() == pendingProposal.baseVersion() ? objectVersion : Write.UNREAD;
    }

    @Override
    public synchronized void onWriteEnded(Outcome outcome) {
        SplitOutcome decided = splitOutcome(outcome);
        unsettledText =
                decided == SplitOutcome.UNKNOWN ? pendingProposal.split().text() : "";
        limiter.recordOutcome(pendingProposal, decided);
    }

    /**
     * Returns the outcome of the proposal. A refused attempt leaves it unknown while an earlier attempt at the same
     * write may still take effect.
     */
    private SplitOutcome splitOutcome(Outcome outcome) {
        String text = pendingProposal.split().text();
        if (outcome == Outcome.WON || stored.text().equals(text)) {
            return SplitOutcome.WON;
        }
        if (stored.version() > pendingProposal.baseVersion()) {
            return SplitOutcome.LOST;
        }
        boolean settled = outcome == Outcome.REFUSED && !unsettledText.equals(text);
        return settled ? SplitOutcome.LOST : SplitOutcome.UNKNOWN;
    }
}
