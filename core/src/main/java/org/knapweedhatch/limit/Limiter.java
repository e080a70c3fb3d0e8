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
import org.knapweedhatch.member.View;
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Contract;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Link;
import org.knapweedhatch.world.Team;

/**
 * All limits of one host.
 *
 * <p>Admissions may come from any thread and take the lock of their own limit only. The other methods share one more
 * lock and do no I/O: messages to send and writes to try are returned.
 *
 * <pre>{@code
 * Limiter limiter = Limiter.create(LimitSettings.standard(), host, incarnation, time, events);
 * limiter.configure(configuration);
 * limiter.split(Split.parse(object.text()));
 * Admission admission = limiter.admit(LimitId.team("crews"), 1);
 * }</pre>
 */
public final class Limiter {

    /** How often {@link #tick()} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(50);

    private static final long PLANNING_PERIOD_NANOS = Duration.ofMillis(250).toNanos();
    private static final long SPLIT_RESEND_NANOS = Duration.ofMillis(500).toNanos();
    private static final long DEDUPLICATION_NANOS = Duration.ofSeconds(10).toNanos();
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
    private View view;
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
        view = View.of(self.name(), List.of());
    }

    /** Creates the limits of a host that has just started: it holds nothing yet. */
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

    /** Takes an amount from a limit, or refuses without taking anything. */
    public Admission admit(LimitId limit, long amount) {
        return admit(limit, amount, false);
    }

    /** Tries an amount once more that was refused and has waited; it does not count as new demand. */
    public Admission admitAgain(LimitId limit, long amount) {
        return admit(limit, amount, true);
    }

    /**
     * Notes an amount that its caller holds back behind others that wait, so that it is borrowed for; it is to be tried
     * by {@link #admitAgain}.
     */
    public void recordQueued(LimitId limit, long amount) {
        LimitState part = limits.get(limit);
        if (part != null) {
            part.bucket().recordQueued(amount);
        }
    }

    private Admission admit(LimitId limit, long amount, boolean repeat) {
        LimitState part = limits.get(limit);
        return part == null ? UNKNOWN_LIMIT : part.bucket().admit(amount, repeat);
    }

    /** Puts the contracts and links of a configuration in force; an earlier number is ignored. */
    public void configure(Configuration configuration) {
        synchronized (lock) {
            if (configuration.number() <= configurationNumber) {
                return;
            }
            configurationNumber = configuration.number();
            Map<LimitId, Contract> contracts = contracts(configuration);
            limits.keySet().retainAll(contracts.keySet());
            contracts.forEach(this::configureLimit);
            refreshOwnedShares(true);
        }
    }

    private Map<LimitId, Contract> contracts(Configuration configuration) {
        Map<LimitId, Contract> contracts = new LinkedHashMap<>();
        for (Team team : configuration.teams().values()) {
            contracts.put(LimitId.team(team.name()), team.contract());
        }
        double burstSeconds = settings.linkBurst().toNanos() / 1e9;
        for (Link link : configuration.links().values()) {
            long burst = Math.max(1, (long) (link.bytesPerSecond() * burstSeconds));
            contracts.put(LimitId.link(link.from(), link.to()), new Contract(link.bytesPerSecond(), burst));
        }
        return contracts;
    }

    private void configureLimit(LimitId limit, Contract contract) {
        LimitState part = limits.get(limit);
        if (part != null) {
            part.bucket().updateContract(contract);
            return;
        }
        TokenBucket bucket = new TokenBucket(contract, settings.drift(), this::now);
        Borrower borrower = new Borrower(limit, bucket, settings, incarnation, this::now);
        Lender lender = new Lender(bucket, settings, this::now, () -> ++lastLoanId);
        limits.put(limit, new LimitState(bucket, borrower, lender));
    }

    /** Takes in the members as this host sees them now. */
    public void updateMembers(View next) {
        synchronized (lock) {
            view = next;
            planner.updateMembers(next);
        }
    }

    /** Takes in the split as read from the platform; an older one than the one known is ignored. */
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

    /** Returns the split that is in force. */
    public Split split() {
        synchronized (lock) {
            return planner.split();
        }
    }

    /** Does what is due by time and returns the messages to send. */
    public List<Outgoing> tick() {
        synchronized (lock) {
            long now = now();
            List<Outgoing> out = new ArrayList<>(fence.requestConfirmations(planner.split(), now));
            if (plannedAt == Long.MIN_VALUE || now - plannedAt >= PLANNING_PERIOD_NANOS) {
                plannedAt = now;
                planner.nextProposal(now).ifPresent(p -> proposal = p);
                refreshOwnedShares(true);
            }
            refreshOwnedShares(false);
            for (LimitState part : limits.values()) {
                out.addAll(part.borrower().releaseSurplus());
                out.addAll(part.lender().retryPending());
                out.addAll(requestLoans(part));
            }
            removeOldHandledMessages(now);
            return out;
        }
    }

    private List<Outgoing> requestLoans(LimitState part) {
        return part.borrower().requestLoans(planner.split(), self.name(), this::isReachable);
    }

    private boolean isReachable(String host) {
        return view.member(host)
                .map(m -> m.state() == MemberState.ALIVE || m.state() == MemberState.LEAVING)
                .orElse(false);
    }

    /**
     * Returns the conditional update to try now; each is returned once and must be answered by {@link #recordOutcome}.
     */
    public Optional<SplitProposal> proposal() {
        synchronized (lock) {
            Optional<SplitProposal> next = Optional.ofNullable(proposal);
            proposal = null;
            return next;
        }
    }

    /** Takes in how a proposal ended; returns whether the split must be read back. */
    public boolean recordOutcome(SplitProposal tried, SplitOutcome outcome) {
        synchronized (lock) {
            boolean read = planner.recordOutcome(tried, outcome, now());
            events.record(EventKind.SHARE, self.name(), "split " + tried.split().version() + " " + outcome);
            refreshOwnedShares(true);
            return read;
        }
    }

    /** Takes in a message of a host and returns the messages to send. */
    public List<Outgoing> receive(String fromHost, PeerMessage message) {
        synchronized (lock) {
            if (message instanceof ConfirmMessage confirm) {
                return receive(fromHost, confirm);
            }
            if (message instanceof SplitUpdate news) {
                applySplit(Split.parse(news.text()));
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

    private List<Outgoing> receive(String from, ConfirmMessage confirm) {
        long now = now();
        List<Outgoing> out = new ArrayList<>();
        fence.handleMessage(from, confirm, planner.split(), now)
                .ifPresent(answer -> out.add(new Outgoing(from, answer)));
        PeerState peer = fence.peer(from);
        boolean rested = peer.splitSentAt == Long.MIN_VALUE || now - peer.splitSentAt > SPLIT_RESEND_NANOS;
        if (confirm.version() < planner.split().version() && rested) {
            peer.splitSentAt = now;
            out.add(new Outgoing(from, new SplitUpdate(planner.split().text())));
        }
        if (confirm.answer()) {
            refreshOwnedShares(false);
        }
        return out;
    }

    private List<Outgoing> handleLoanRequest(String from, LoanRequest request) {
        LimitState part = limits.get(request.limit());
        if (part == null || isDuplicate(from, request.incarnation(), request.limit(), request.id())) {
            return List.of();
        }
        return List.of(part.lender().handleRequest(from, request));
    }

    private List<Outgoing> handleLoanRelease(String from, LoanRelease release) {
        LimitState part = limits.get(release.limit());
        if (part == null || isDuplicate(from, release.incarnation(), release.limit(), release.id())) {
            return List.of();
        }
        return part.lender().handleRelease(from, release);
    }

    private boolean isDuplicate(String from, long fromIncarnation, LimitId limit, long id) {
        return handledMessages.putIfAbsent(new MessageKey(from, fromIncarnation, limit, id), now()) != null;
    }

    private List<Outgoing> handleLoanGrant(String from, LoanGrant grant) {
        LimitState part = limits.get(grant.limit());
        if (part == null) {
            return List.of();
        }
        part.borrower().handleGrant(from, grant);
        return requestLoans(part);
    }

    private void removeOldHandledMessages(long now) {
        Iterator<Long> oldest = handledMessages.values().iterator();
        while (oldest.hasNext() && now - oldest.next() > DEDUPLICATION_NANOS) {
            oldest.remove();
        }
    }

    /** Brings the owned shares and their end up to date. */
    private void refreshOwnedShares(boolean sharesChanged) {
        long until = fence.usableUntil(planner.split(), now());
        if (!sharesChanged && until == usableUntil) {
            return;
        }
        usableUntil = until;
        limits.forEach((limit, part) -> part.bucket().updateOwnedShare(planner.share(limit), until));
    }

    /** Begins to hand over: shares go to other hosts, and nothing new is taken. */
    public void leave() {
        synchronized (lock) {
            planner.leave();
            events.record(EventKind.LEAVING, self.name(), "handing shares over");
        }
    }

    /** Returns whether the hand-over is complete. */
    public boolean hasLeft() {
        synchronized (lock) {
            return planner.hasLeft();
        }
    }

    /** Returns every limit as this host sees it now. */
    public List<LimitMetrics> metrics() {
        return limits.entrySet().stream()
                .map(e -> e.getValue().bucket().metrics(e.getKey()))
                .sorted(Comparator.comparing(m -> m.limit().toString()))
                .toList();
    }
}
