package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Link;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;

/**
 * Enforces all limits on one host: the requests of each team and the bytes of each link between regions.
 *
 * <p>Each limit holds over all hosts together. A host owns a share of it according to the {@link Split} and borrows or
 * lends parts of it as demand moves; see {@link TokenBucket}.
 *
 * <p>Safe for use by many threads. The methods that admit take only the lock of their limit; all others share one
 * additional lock. No method does I/O: messages to send and conditional writes to try are returned to the caller.
 *
 * <pre>{@code
 * Limiter limiter = Limiter.create(LimitSettings.standard(), host, incarnation, time, events);
 * limiter.configure(configuration);
 * limiter.split(Split.parse(object.text()));
 * Admission admission = limiter.admit(LimitId.team("crews"), 1);
 * }</pre>
 */
public final class Limiter {

    /** Interval at which {@link #tick()} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(50);

    private static final long PLANNING_PERIOD_NANOS = Duration.ofMillis(250).toNanos();
    /** Minimum time between two {@link SplitUpdate}s to the same host. */
    private static final long SPLIT_RESEND_NANOS = Duration.ofMillis(500).toNanos();
    /** Time for which handled loan requests and releases are remembered, to ignore duplicates of them. */
    private static final long DEDUPLICATION_NANOS = Duration.ofSeconds(10).toNanos();
    /** Low bits of a loan id that count within an incarnation; the bits above hold the incarnation. */
    private static final int LOAN_ID_BITS = 24;

    private static final Admission UNKNOWN_LIMIT =
            new Admission.Refused(Duration.ofMinutes(1), RefusalReason.UNKNOWN_LIMIT);

    private record MessageKey(String host, long incarnation, LimitId limit, long id) {}

    private record LimitState(TokenBucket bucket, Borrower borrower, Lender lender) {}

    private final LimitSettings settings;
    private final Host self;
    private final long incarnation;
    private final TimeSource time;
    private final long origin;
    private final EventSink events;
    private final ConcurrentHashMap<LimitId, LimitState> limits = new ConcurrentHashMap<>();
    private final Object lock = new Object();
    private final ShareFencing fence;
    private final SplitPlanner planner;
    private final LinkedHashMap<MessageKey, Long> handledMessages = new LinkedHashMap<>();
    private MembershipView view;
    private long configurationNumber = -1;
    private long usableUntil;
    private long plannedAt = Long.MIN_VALUE;
    private SplitProposal proposal;
    private long lastLoanId;

    private Limiter(LimitSettings settings, Host self, long incarnation, TimeSource time, EventSink events) {
        this.settings = settings;
        this.self = self;
        this.incarnation = incarnation;
        this.time = time;
        this.events = events;
        origin = time.nanos();
        lastLoanId = incarnation << LOAN_ID_BITS;
        fence = new ShareFencing(self.name(), incarnation, settings, 0);
        planner = new SplitPlanner(self, incarnation, settings, fence);
        view = MembershipView.of(self.name(), List.of());
    }

    /** Creates the limiter of a process that has just started; it owns no shares and has no limits configured. */
    public static Limiter create(
            LimitSettings settings, Host self, long incarnation, TimeSource time, EventSink events) {
        Validate.notNull(settings, "settings");
        Validate.notNull(self, "self");
        Validate.notNull(time, "time");
        Validate.notNull(events, "events");
        return new Limiter(settings, self, incarnation, time, events);
    }

    private long now() {
        return time.nanos() - origin;
    }

    /**
     * Takes an amount from a limit, or refuses without taking anything. The amount counts as demand either way.
     *
     * @param amount requests of a team, or bytes of a link
     */
    public Admission admit(LimitId limit, long amount) {
        return admit(limit, amount, false);
    }

    /** Retries an amount that was refused or {@linkplain #recordQueued queued} before; not counted as new demand. */
    public Admission admitAgain(LimitId limit, long amount) {
        return admit(limit, amount, true);
    }

    /**
     * Counts an amount as refused demand without trying to admit it, because the caller has queued it behind other
     * waiting requests. The host then borrows for it; the caller tries it later with {@link #admitAgain}.
     */
    public void recordQueued(LimitId limit, long amount) {
        LimitState state = limits.get(limit);
        if (state != null) {
            state.bucket().recordQueued(amount);
        }
    }

    private Admission admit(LimitId limit, long amount, boolean repeat) {
        LimitState state = limits.get(limit);
        return state == null ? UNKNOWN_LIMIT : state.bucket().admit(amount, repeat);
    }

    /** Applies the team contracts and links of a configuration; ignored unless its number is newer than the last. */
    public void configure(Configuration configuration) {
        synchronized (lock) {
            if (configuration.number() <= configurationNumber) {
                return;
            }
            configurationNumber = configuration.number();
            Map<LimitId, RateLimit> contracts = contracts(configuration);
            limits.keySet().retainAll(contracts.keySet());
            contracts.forEach(this::configureLimit);
            refreshOwnedShares(true);
        }
    }

    private Map<LimitId, RateLimit> contracts(Configuration configuration) {
        Map<LimitId, RateLimit> contracts = new LinkedHashMap<>();
        for (Team team : configuration.teams().values()) {
            contracts.put(LimitId.team(team.name()), team.rateLimit());
        }
        double burstSeconds = settings.linkBurst().toNanos() / 1e9;
        for (Link link : configuration.links().values()) {
            long burst = Math.max(1, (long) (link.bytesPerSecond() * burstSeconds));
            contracts.put(LimitId.link(link.from(), link.to()), new RateLimit(link.bytesPerSecond(), burst));
        }
        return contracts;
    }

    private void configureLimit(LimitId limit, RateLimit contract) {
        LimitState state = limits.get(limit);
        if (state != null) {
            state.bucket().updateContract(contract);
            return;
        }
        TokenBucket bucket = new TokenBucket(contract, settings.drift(), this::now);
        Borrower borrower = new Borrower(limit, bucket, settings, incarnation, this::now);
        Lender lender = new Lender(bucket, settings, this::now, () -> ++lastLoanId);
        limits.put(limit, new LimitState(bucket, borrower, lender));
    }

    /** Sets the current membership as this host sees it. */
    public void updateMembers(MembershipView next) {
        synchronized (lock) {
            view = next;
            planner.updateMembers(next);
        }
    }

    /** Applies a split read from the platform; ignored unless its version is newer than the current one. */
    public void split(Split next) {
        synchronized (lock) {
            applySplit(next);
        }
    }

    private void applySplit(Split next) {
        if (planner.updateSplit(next)) {
            events.record(EventKind.SHARE, self.name(), "split " + next.version() + " in force");
            refreshOwnedShares(true);
        }
    }

    /** Returns the newest split that this host knows. */
    public Split split() {
        synchronized (lock) {
            return planner.split();
        }
    }

    /**
     * Runs the periodic work and returns the messages to send: requests for confirmation and loans, returned loans and
     * grants for pending requests. May also create a {@link #proposal()}.
     */
    public List<OutgoingMessage> tick() {
        synchronized (lock) {
            long now = now();
            List<OutgoingMessage> out = new ArrayList<>(fence.requestConfirmations(planner.split(), now));
            if (plannedAt == Long.MIN_VALUE || now - plannedAt >= PLANNING_PERIOD_NANOS) {
                plannedAt = now;
                planner.nextProposal(now).ifPresent(p -> proposal = p);
                refreshOwnedShares(true);
            }
            refreshOwnedShares(false);
            for (LimitState state : limits.values()) {
                out.addAll(state.borrower().releaseSurplus());
                out.addAll(state.lender().retryPending());
                out.addAll(requestLoans(state));
            }
            removeOldHandledMessages(now);
            return out;
        }
    }

    private List<OutgoingMessage> requestLoans(LimitState state) {
        return state.borrower().requestLoans(planner.split(), self.name(), this::isReachable);
    }

    private boolean isReachable(String host) {
        return view.member(host)
                .map(m -> m.state() == MemberState.ALIVE || m.state() == MemberState.LEAVING)
                .orElse(false);
    }

    /**
     * Removes and returns the conditional update of the split to try now, or empty if there is none. The caller must
     * report how it ended with {@link #recordOutcome}.
     */
    public Optional<SplitProposal> proposal() {
        synchronized (lock) {
            Optional<SplitProposal> next = Optional.ofNullable(proposal);
            proposal = null;
            return next;
        }
    }

    /** Records the outcome of a proposal; returns whether the caller must read the split from the platform again. */
    public boolean recordOutcome(SplitProposal proposal, SplitOutcome outcome) {
        synchronized (lock) {
            boolean read = planner.recordOutcome(proposal, outcome, now());
            events.record(
                    EventKind.SHARE, self.name(), "split " + proposal.split().version() + " " + outcome);
            refreshOwnedShares(true);
            return read;
        }
    }

    /** Handles a message from another host and returns the messages to send. Other message types are ignored. */
    public List<OutgoingMessage> receive(String fromHost, PeerMessage message) {
        synchronized (lock) {
            if (message instanceof ConfirmMessage confirm) {
                return receive(fromHost, confirm);
            }
            if (message instanceof SplitUpdate update) {
                applySplit(Split.parse(update.text()));
            } else if (message instanceof LoanRequest request) {
                return handleLoanRequest(fromHost, request);
            } else if (message instanceof LoanRelease release) {
                return handleLoanRelease(fromHost, release);
            } else if (message instanceof LoanGrant grant) {
                return handleLoanGrant(fromHost, grant);
            }
            return List.of();
        }
    }

    private List<OutgoingMessage> receive(String from, ConfirmMessage confirm) {
        long now = now();
        List<OutgoingMessage> out = new ArrayList<>();
        fence.handleMessage(from, confirm, planner.split(), now)
                .ifPresent(answer -> out.add(new OutgoingMessage(from, answer)));
        PeerState peer = fence.peer(from);
        boolean resendDue = peer.splitSentAt == Long.MIN_VALUE || now - peer.splitSentAt > SPLIT_RESEND_NANOS;
        if (confirm.version() < planner.split().version() && resendDue) {
            peer.splitSentAt = now;
            out.add(new OutgoingMessage(from, new SplitUpdate(planner.split().text())));
        }
        if (confirm.answer()) {
            refreshOwnedShares(false);
        }
        return out;
    }

    private List<OutgoingMessage> handleLoanRequest(String from, LoanRequest request) {
        LimitState state = limits.get(request.limit());
        if (state == null || isDuplicate(from, request.incarnation(), request.limit(), request.id())) {
            return List.of();
        }
        return List.of(state.lender().handleRequest(from, request));
    }

    private List<OutgoingMessage> handleLoanRelease(String from, LoanRelease release) {
        LimitState state = limits.get(release.limit());
        if (state == null || isDuplicate(from, release.incarnation(), release.limit(), release.id())) {
            return List.of();
        }
        return state.lender().handleRelease(from, release);
    }

    private boolean isDuplicate(String from, long fromIncarnation, LimitId limit, long id) {
        return handledMessages.putIfAbsent(new MessageKey(from, fromIncarnation, limit, id), now()) != null;
    }

    private List<OutgoingMessage> handleLoanGrant(String from, LoanGrant grant) {
        LimitState state = limits.get(grant.limit());
        if (state == null) {
            return List.of();
        }
        state.borrower().handleGrant(from, grant);
        return requestLoans(state);
    }

    private void removeOldHandledMessages(long now) {
        Iterator<Long> oldest = handledMessages.values().iterator();
        while (oldest.hasNext() && now - oldest.next() > DEDUPLICATION_NANOS) {
            oldest.remove();
        }
    }

    /** Updates the owned share of every bucket and the time until which it may be used. */
    private void refreshOwnedShares(boolean sharesChanged) {
        long until = fence.usableUntil(planner.split(), now());
        if (!sharesChanged && until == usableUntil) {
            return;
        }
        usableUntil = until;
        limits.forEach((limit, state) -> state.bucket().updateOwnedShare(planner.share(limit), until));
    }

    /** Starts to hand this host's shares over to other hosts; it takes no new ones from now on. */
    public void leave() {
        synchronized (lock) {
            planner.leave();
            events.record(EventKind.LEAVING, self.name(), "handing shares over");
        }
    }

    /** Returns whether the handover is complete: the split no longer lists this host. */
    public boolean hasLeft() {
        synchronized (lock) {
            return planner.hasLeft();
        }
    }

    /** Returns the current state of every limit on this host, ordered by limit id. */
    public List<LimitMetrics> metrics() {
        return limits.entrySet().stream()
                .map(e -> e.getValue().bucket().metrics(e.getKey()))
                .sorted(Comparator.comparing(m -> m.limit().toString()))
                .toList();
    }
}
