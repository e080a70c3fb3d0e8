package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.world.Host;

/**
 * Proposes changes to the {@link Split}: adding hosts, setting and lifting fences, taking over the slices of fenced
 * hosts, and moving slices from this host to others.
 *
 * <p>At most one proposal is pending at a time. All hosts derive the same changes, so each waits a different delay
 * before it writes; usually only one of them does.
 *
 * <p>Not thread-safe; {@link Limiter} holds its lock around each call.
 */
final class SplitPlanner {

    /** Additional delay before writing a change, per live host in scope that comes before this one. */
    private static final long WRITE_DELAY_STEP_NANOS = Duration.ofMillis(400).toNanos();

    private static final int MAX_DELAY_STEPS = 8;
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** The hosts, besides this one, that could write the same change. */
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

    /** Everything that the planned transfer of slices is derived from; unchanged inputs need no new plan. */
    private record TransferInputs(long version, List<String> alive, boolean leaving) {}

    private final Host self;
    private final long incarnation;
    private final LimitSettings settings;
    private final ShareFencing fence;
    private Split split;
    private boolean splitRead;
    private MembershipView view;
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
        view = MembershipView.of(self.name(), List.of());
    }

    Split split() {
        return split;
    }

    /** Applies a split that was read or written; returns whether it is newer than the current one. */
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

    void updateMembers(MembershipView next) {
        view = next;
    }

    void leave() {
        leaving = true;
    }

    boolean hasLeft() {
        return leaving && splitRead && split.host(self.name()).isEmpty();
    }

    /** Returns the share of a limit that this host owns and does not plan to transfer. */
    double share(LimitId limit) {
        double share = split.share(limit, self.name());
        return plannedTransfer == null ? share : Math.min(share, plannedTransfer.share(limit, self.name()));
    }

    /** Returns the conditional update to write now, or empty if none is due. */
    Optional<SplitProposal> nextProposal(long now) {
        planTransfer(now);
        if (!splitRead || now < retryAt) {
            return Optional.empty();
        }
        if (pendingProposal != null) {
            return retryPending(now);
        }
        SplitDraft draft = split.draft();
        WriterScope scope = draftChanges(draft, now);
        if (!draft.isChanged()) {
            changeDueSince = Long.MIN_VALUE;
            return Optional.empty();
        }
        if (!isWriteDue(scope, now)) {
            return Optional.empty();
        }
        pendingProposal = new SplitProposal(split.version(), draft.build());
        fence.proposalPending(true);
        return Optional.of(pendingProposal);
    }

    /** Returns the pending proposal again if it is unknown whether it took effect. */
    private Optional<SplitProposal> retryPending(long now) {
        if (!outcomeUnknown) {
            return Optional.empty();
        }
        retryAt = now + RETRY_NANOS;
        return Optional.of(pendingProposal);
    }

    /** Adds all due changes to the draft; returns which hosts could write them. */
    private WriterScope draftChanges(SplitDraft draft, long now) {
        WriterScope scope = WriterScope.FLEET;
        if (plannedTransfer != null && now - transferPlannedAt > settings.lengthenedForDrift(settings.lease())) {
            draftTransfer(draft);
            scope = WriterScope.SELF;
        }
        boolean ownFenceLifted = liftOwnFence(draft);
        boolean domainChanged = fence(draft, now) | takeOverFencedHosts(draft, now);
        addHosts(draft);
        if (ownFenceLifted) {
            return WriterScope.SELF;
        }
        return domainChanged && scope == WriterScope.FLEET ? WriterScope.DOMAIN : scope;
    }

    /** Returns whether this host's delay has passed, which grows with the live hosts in scope that come before it. */
    private boolean isWriteDue(WriterScope scope, long now) {
        if (changeDueSince == Long.MIN_VALUE) {
            changeDueSince = now;
        }
        long hostsBefore = aliveHosts().stream()
                .filter(name ->
                        split.host(name).filter(h -> scope.includes(h, self)).isPresent())
                .filter(name -> writeOrder(name) < writeOrder(self.name()))
                .count();
        return now - changeDueSince >= Math.min(hostsBefore, MAX_DELAY_STEPS) * WRITE_DELAY_STEP_NANOS;
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

    /** Lifts the fence from this host, since it is alive; returns whether there was one. */
    private boolean liftOwnFence(SplitDraft draft) {
        SplitHost own = draft.hosts().get(self.name());
        if (own == null || !own.isFenced() || own.incarnation() != incarnation) {
            return false;
        }
        draft.put(own.withFence(0));
        return true;
    }

    /** Fences the silent hosts of this failure domain; returns whether there was any. */
    private boolean fence(SplitDraft draft, long now) {
        boolean changed = false;
        for (SplitHost host : split.hostsInDomain(self.domain())) {
            boolean candidate = !host.isFenced() && !host.name().equals(self.name()) && !isAlive(host.name());
            if (candidate && fence.canFence(host, split, now)) {
                draft.put(host.withFence(split.version() + 1));
                changed = true;
            }
        }
        return changed;
    }

    private boolean isAlive(String name) {
        return view.member(name).map(m -> m.state() == MemberState.ALIVE).orElse(false);
    }

    /** Reassigns the slices of fenced hosts that have stopped using them; returns whether there was any. */
    private boolean takeOverFencedHosts(SplitDraft draft, long now) {
        boolean changed = false;
        for (SplitHost host : split.hostsInDomain(self.domain())) {
            boolean unchanged = host.equals(draft.hosts().get(host.name()));
            if (host.isFenced() && unchanged && fence.hasStoppedUsingShares(host, split, now)) {
                draft.remove(host.name(), successors(host.domain()));
                changed = true;
            }
        }
        return changed;
    }

    /** Returns the live hosts that may receive the slices of a host: those of its domain, or all if there are none. */
    private Collection<String> successors(String domain) {
        List<String> candidates = split.hosts().values().stream()
                .filter(h -> !h.isFenced() && (h.name().equals(self.name()) ? !leaving : isAlive(h.name())))
                .map(SplitHost::name)
                .toList();
        List<String> sameDomain = candidates.stream()
                .filter(name -> split.host(name).orElseThrow().domain().equals(domain))
                .toList();
        return sameDomain.isEmpty() ? candidates : sameDomain;
    }

    /**
     * Plans which slices to move from this host to others. {@link #share} excludes them from then on. The move is
     * written only after the longest lease, when all loans of them have expired, so no share is in use on two hosts.
     */
    private void planTransfer(long now) {
        TransferInputs inputs = new TransferInputs(split.version(), aliveHosts(), leaving);
        if (pendingProposal != null || inputs.equals(transferInputs)) {
            return;
        }
        transferInputs = inputs;
        SplitDraft draft = split.draft();
        boolean listedUnfenced = split.host(self.name())
                .map(h -> h.incarnation() == incarnation && !h.isFenced())
                .orElse(false);
        if (listedUnfenced) {
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

    /** Records the outcome of a proposal; returns whether the split must be read from the platform again. */
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
