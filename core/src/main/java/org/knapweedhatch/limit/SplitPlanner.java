package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.View;
import org.knapweedhatch.world.Host;

/**
 * Proposes changes of the split: new hosts, fences, takeovers, and gifts of slices.
 *
 * <p>At most one proposal is undecided at a time. Every host comes to the same conclusions; each waits a time of its
 * own before it writes, so that mostly one of them does.
 */
final class SplitPlanner {

    private static final long WRITE_DELAY_STEP_NANOS = Duration.ofMillis(400).toNanos();
    private static final int MAX_DELAY_STEPS = 8;
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Who writes a change that several hosts could write. */
    private enum WriterScope {
        SELF {
            @Override
            boolean includes(SplitHost other, Host self) {
                return false;
            }
        },
        DOMAIN {
            @Override
            boolean includes(SplitHost other, Host self) {
                return other.domain().equals(self.domain());
            }
        },
        FLEET {
            @Override
            boolean includes(SplitHost other, Host self) {
                return true;
            }
        };

        abstract boolean includes(SplitHost other, Host self);
    }

    /** All that a gift depends on. */
    private record TransferInputs(long version, List<String> alive, boolean leaving) {}

    private final Host self;
    private final long incarnation;
    private final LimitSettings settings;
    private final ShareFencing fence;
    private Split split;
    private boolean splitRead;
    private View view;
    private boolean leaving;
    private TransferInputs transferInputs;
    private Split plannedTransfer;
    private long transferPlannedAt;
    private SplitProposal pendingProposal;
    private boolean outcomeUnknown;
    private long changeDueSince = Long.MIN_VALUE;
    private long retryAt = Long.MIN_VALUE;

    SplitPlanner(Host self, long incarnation, LimitSettings settings, ShareFencing fence) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
        this.fence = fence;
        split = Split.absent();
        view = View.of(self.name(), List.of());
    }

    Split split() {
        return split;
    }

    /** Takes in a split that was read; returns whether it is newer than the one known. */
    boolean updateSplit(Split next) {
        splitRead = true;
        if (next.version() <= split.version()) {
            return false;
        }
        fence.splitChanged(split, next);
        split = next;
        clearPending();
        changeDueSince = Long.MIN_VALUE;
        return true;
    }

    void updateMembers(View next) {
        view = next;
    }

    void leave() {
        leaving = true;
    }

    boolean hasLeft() {
        return leaving && splitRead && split.host(self.name()).isEmpty();
    }

    /** Returns the share of a limit that this host owns and is not about to give away. */
    double share(LimitId limit) {
        double share = split.share(limit, self.name());
        return plannedTransfer == null ? share : Math.min(share, plannedTransfer.share(limit, self.name()));
    }

    /** Returns what to write now, if anything. */
    Optional<SplitProposal> nextProposal(long now) {
        planTransfer(now);
        if (!splitRead || now < retryAt) {
            return Optional.empty();
        }
        if (pendingProposal != null) {
            return retryPending(now);
        }
        SplitDraft draft = split.draft();
        WriterScope turn = draftChanges(draft, now);
        if (!draft.isChanged()) {
            changeDueSince = Long.MIN_VALUE;
            return Optional.empty();
        }
        if (!isWriteDue(turn, now)) {
            return Optional.empty();
        }
        pendingProposal = new SplitProposal(split.version(), draft.build());
        fence.proposalPending(true);
        return Optional.of(pendingProposal);
    }

    /** Returns the same proposal once more where nobody knows whether it took effect. */
    private Optional<SplitProposal> retryPending(long now) {
        if (!outcomeUnknown) {
            return Optional.empty();
        }
        retryAt = now + RETRY_NANOS;
        return Optional.of(pendingProposal);
    }

    /** Gathers every change that is due; returns whose turn it is to write it. */
    private WriterScope draftChanges(SplitDraft draft, long now) {
        WriterScope turn = WriterScope.FLEET;
        if (plannedTransfer != null && now - transferPlannedAt > settings.lengthenedForDrift(settings.lease())) {
            draftTransfer(draft);
            turn = WriterScope.SELF;
        }
        boolean lifted = liftOwnFence(draft);
        boolean domain = fence(draft, now) | takeOverFencedHosts(draft, now);
        addHosts(draft);
        if (lifted) {
            return WriterScope.SELF;
        }
        return domain && turn == WriterScope.FLEET ? WriterScope.DOMAIN : turn;
    }

    private boolean isWriteDue(WriterScope turn, long now) {
        if (changeDueSince == Long.MIN_VALUE) {
            changeDueSince = now;
        }
        long before = aliveHosts().stream()
                .filter(name ->
                        split.host(name).filter(h -> turn.includes(h, self)).isPresent())
                .filter(name -> writeOrder(name) < writeOrder(self.name()))
                .count();
        return now - changeDueSince >= Math.min(before, MAX_DELAY_STEPS) * WRITE_DELAY_STEP_NANOS;
    }

    private int writeOrder(String name) {
        return Voters.hash("turn" + split.version(), name);
    }

    private List<String> aliveHosts() {
        return view.members().values().stream()
                .filter(m -> m.state() == MemberState.ALIVE)
                .map(Member::name)
                .sorted()
                .toList();
    }

    private void addHosts(SplitDraft draft) {
        if (!leaving) {
            addHosts(draft, self, incarnation);
        }
        for (Member member : view.members().values()) {
            if (member.state() == MemberState.ALIVE && !member.name().equals(self.name())) {
                addHosts(draft, member.host(), member.incarnation());
            }
        }
        if (!draft.hosts().isEmpty()) {
            draft.assignNewPools();
        }
    }

    private void addHosts(SplitDraft draft, Host host, long hostIncarnation) {
        SplitHost entry = draft.hosts().get(host.name());
        if (entry == null || entry.incarnation() < hostIncarnation) {
            draft.put(SplitHost.of(host, hostIncarnation));
        }
    }

    /** Lifts a fence from this host itself, which lives. */
    private boolean liftOwnFence(SplitDraft draft) {
        SplitHost own = draft.hosts().get(self.name());
        if (own == null || !own.isFenced() || own.incarnation() != incarnation) {
            return false;
        }
        draft.put(own.withFence(0));
        return true;
    }

    private boolean fence(SplitDraft draft, long now) {
        boolean any = false;
        for (SplitHost host : split.hostsInDomain(self.domain())) {
            boolean candidate = !host.isFenced() && !host.name().equals(self.name()) && !isAlive(host.name());
            if (candidate && fence.canFence(host, split, now)) {
                draft.put(host.withFence(split.version() + 1));
                any = true;
            }
        }
        return any;
    }

    private boolean isAlive(String name) {
        return view.member(name).map(m -> m.state() == MemberState.ALIVE).orElse(false);
    }

    private boolean takeOverFencedHosts(SplitDraft draft, long now) {
        boolean any = false;
        for (SplitHost host : split.hostsInDomain(self.domain())) {
            boolean unchanged = host.equals(draft.hosts().get(host.name()));
            if (host.isFenced() && unchanged && fence.hasStoppedUsingShares(host, split, now)) {
                draft.remove(host.name(), successors(host.domain()));
                any = true;
            }
        }
        return any;
    }

    private Collection<String> successors(String domain) {
        List<String> candidates = split.hosts().values().stream()
                .filter(h -> !h.isFenced() && (h.name().equals(self.name()) ? !leaving : isAlive(h.name())))
                .map(SplitHost::name)
                .toList();
        List<String> near = candidates.stream()
                .filter(name -> split.host(name).orElseThrow().domain().equals(domain))
                .toList();
        return near.isEmpty() ? candidates : near;
    }

    /** Decides what to give away; the share is out of use from that moment on, before anything is written. */
    private void planTransfer(long now) {
        TransferInputs basis = new TransferInputs(split.version(), aliveHosts(), leaving);
        if (pendingProposal != null || basis.equals(transferInputs)) {
            return;
        }
        transferInputs = basis;
        SplitDraft draft = split.draft();
        boolean current = split.host(self.name())
                .map(h -> h.incarnation() == incarnation && !h.isFenced())
                .orElse(false);
        if (current) {
            draftTransfer(draft);
        }
        if (!draft.isChanged()) {
            plannedTransfer = null;
            return;
        }
        Split next = draft.build();
        if (plannedTransfer == null || !plannedTransfer.ownsSubsetOf(next, self.name())) {
            transferPlannedAt = now;
        }
        plannedTransfer = next;
    }

    private void draftTransfer(SplitDraft draft) {
        if (leaving) {
            draft.remove(self.name(), successors(self.domain()));
        } else {
            draft.rebalance(self.name(), aliveHosts());
        }
    }

    /** Takes in how a proposal ended; returns whether the split must be read. */
    boolean recordOutcome(SplitProposal proposal, SplitOutcome outcome, long now) {
        if (pendingProposal == null || !pendingProposal.equals(proposal)) {
            return outcome != SplitOutcome.WON;
        }
        if (outcome == SplitOutcome.WON) {
            return !updateSplit(proposal.split());
        }
        if (outcome == SplitOutcome.UNKNOWN) {
            outcomeUnknown = true;
        } else if (!outcomeUnknown) {
            clearPending();
        }
        retryAt = now + RETRY_NANOS;
        return true;
    }

    private void clearPending() {
        pendingProposal = null;
        outcomeUnknown = false;
        fence.proposalPending(false);
    }
}
