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
 * Proposes changes of the split: new hosts, fences, takeovers, and gifts of slices.
 *
 * <p>At most one proposal is undecided at a time. Every host comes to the same conclusions; each waits a time of its
 * own before it writes, so that mostly one of them does.
 */
final class Steward {

    private static final long TURN_NANOS = Duration.ofMillis(400).toNanos();
    private static final int LAST_TURN = 8;
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Who writes a change that several hosts could write. */
    private enum Turn {
        SELF {
            @Override
            boolean concerns(SplitHost other, Host self) {
                return false;
            }
        },
        DOMAIN {
            @Override
            boolean concerns(SplitHost other, Host self) {
                return other.domain().equals(self.domain());
            }
        },
        FLEET {
            @Override
            boolean concerns(SplitHost other, Host self) {
                return true;
            }
        };

        abstract boolean concerns(SplitHost other, Host self);
    }

    /** All that a gift depends on. */
    private record GiftBasis(long version, List<String> alive, boolean leaving) {}

    private final Host self;
    private final long incarnation;
    private final LimitSettings settings;
    private final Fence fence;
    private Split split;
    private boolean known;
    private MembershipView view;
    private boolean leaving;
    private GiftBasis giftBasis;
    private Split gift;
    private long giftSince;
    private SplitProposal undecided;
    private boolean unclear;
    private long wantedSince = Long.MIN_VALUE;
    private long retryAt = Long.MIN_VALUE;

    Steward(Host self, long incarnation, LimitSettings settings, Fence fence) {
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

    /** Takes in a split that was read; returns whether it is newer than the one known. */
    boolean read(Split next) {
        known = true;
        if (next.version() <= split.version()) {
            return false;
        }
        fence.changed(split, next);
        split = next;
        settle();
        wantedSince = Long.MIN_VALUE;
        return true;
    }

    void members(MembershipView next) {
        view = next;
    }

    void leave() {
        leaving = true;
    }

    boolean hasLeft() {
        return leaving && known && split.host(self.name()).isEmpty();
    }

    /** Returns the share of a limit that this host owns and is not about to give away. */
    double share(LimitId limit) {
        double share = split.share(limit, self.name());
        return gift == null ? share : Math.min(share, gift.share(limit, self.name()));
    }

    /** Returns what to write now, if anything. */
    Optional<SplitProposal> propose(long now) {
        planGift(now);
        if (!known || now < retryAt) {
            return Optional.empty();
        }
        if (undecided != null) {
            return again(now);
        }
        SplitDraft draft = split.draft();
        Turn turn = improve(draft, now);
        if (!draft.isChanged()) {
            wantedSince = Long.MIN_VALUE;
            return Optional.empty();
        }
        if (!isDue(turn, now)) {
            return Optional.empty();
        }
        undecided = new SplitProposal(split.version(), draft.build());
        fence.undecided(true);
        return Optional.of(undecided);
    }

    /** Returns the same proposal once more where nobody knows whether it took effect. */
    private Optional<SplitProposal> again(long now) {
        if (!unclear) {
            return Optional.empty();
        }
        retryAt = now + RETRY_NANOS;
        return Optional.of(undecided);
    }

    /** Gathers every change that is due; returns whose turn it is to write it. */
    private Turn improve(SplitDraft draft, long now) {
        Turn turn = Turn.FLEET;
        if (gift != null && now - giftSince > settings.lengthened(settings.lease())) {
            apply(draft);
            turn = Turn.SELF;
        }
        boolean lifted = lift(draft);
        boolean domain = fence(draft, now) | takeOver(draft, now);
        enrol(draft);
        if (lifted) {
            return Turn.SELF;
        }
        return domain && turn == Turn.FLEET ? Turn.DOMAIN : turn;
    }

    private boolean isDue(Turn turn, long now) {
        if (wantedSince == Long.MIN_VALUE) {
            wantedSince = now;
        }
        long before = alive().stream()
                .filter(name ->
                        split.host(name).filter(h -> turn.concerns(h, self)).isPresent())
                .filter(name -> order(name) < order(self.name()))
                .count();
        return now - wantedSince >= Math.min(before, LAST_TURN) * TURN_NANOS;
    }

    private int order(String name) {
        return Electors.mix("turn" + split.version(), name);
    }

    private List<String> alive() {
        return view.members().values().stream()
                .filter(m -> m.state() == MemberState.ALIVE)
                .map(Member::name)
                .sorted()
                .toList();
    }

    private void enrol(SplitDraft draft) {
        if (!leaving) {
            enrol(draft, self, incarnation);
        }
        for (Member member : view.members().values()) {
            if (member.state() == MemberState.ALIVE && !member.name().equals(self.name())) {
                enrol(draft, member.host(), member.incarnation());
            }
        }
        if (!draft.hosts().isEmpty()) {
            draft.dealOut();
        }
    }

    private void enrol(SplitDraft draft, Host host, long hostIncarnation) {
        SplitHost entry = draft.hosts().get(host.name());
        if (entry == null || entry.incarnation() < hostIncarnation) {
            draft.put(SplitHost.of(host, hostIncarnation));
        }
    }

    /** Lifts a fence from this host itself, which lives. */
    private boolean lift(SplitDraft draft) {
        SplitHost own = draft.hosts().get(self.name());
        if (own == null || !own.isFenced() || own.incarnation() != incarnation) {
            return false;
        }
        draft.put(own.withFence(0));
        return true;
    }

    private boolean fence(SplitDraft draft, long now) {
        boolean any = false;
        for (SplitHost host : split.domain(self.domain())) {
            boolean candidate = !host.isFenced() && !host.name().equals(self.name()) && !isAlive(host.name());
            if (candidate && fence.mayFence(host, split, now)) {
                draft.put(host.withFence(split.version() + 1));
                any = true;
            }
        }
        return any;
    }

    private boolean isAlive(String name) {
        return view.member(name).map(m -> m.state() == MemberState.ALIVE).orElse(false);
    }

    private boolean takeOver(SplitDraft draft, long now) {
        boolean any = false;
        for (SplitHost host : split.domain(self.domain())) {
            boolean unchanged = host.equals(draft.hosts().get(host.name()));
            if (host.isFenced() && unchanged && fence.hasStopped(host, split, now)) {
                draft.remove(host.name(), heirs(host.domain()));
                any = true;
            }
        }
        return any;
    }

    private Collection<String> heirs(String domain) {
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
    private void planGift(long now) {
        GiftBasis basis = new GiftBasis(split.version(), alive(), leaving);
        if (undecided != null || basis.equals(giftBasis)) {
            return;
        }
        giftBasis = basis;
        SplitDraft draft = split.draft();
        boolean current = split.host(self.name())
                .map(h -> h.incarnation() == incarnation && !h.isFenced())
                .orElse(false);
        if (current) {
            apply(draft);
        }
        if (!draft.isChanged()) {
            gift = null;
            return;
        }
        Split next = draft.build();
        if (gift == null || !gift.keepsNoMoreThan(next, self.name())) {
            giftSince = now;
        }
        gift = next;
    }

    private void apply(SplitDraft draft) {
        if (leaving) {
            draft.remove(self.name(), heirs(self.domain()));
        } else {
            draft.give(self.name(), alive());
        }
    }

    /** Takes in how a proposal ended; returns whether the split must be read. */
    boolean decided(SplitProposal proposal, SplitOutcome outcome, long now) {
        if (undecided == null || !undecided.equals(proposal)) {
            return outcome != SplitOutcome.WON;
        }
        if (outcome == SplitOutcome.WON) {
            return !read(proposal.split());
        }
        if (outcome == SplitOutcome.UNKNOWN) {
            unclear = true;
        } else if (!unclear) {
            settle();
        }
        retryAt = now + RETRY_NANOS;
        return true;
    }

    private void settle() {
        undecided = null;
        unclear = false;
        fence.undecided(false);
    }
}
