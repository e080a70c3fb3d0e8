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
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Link;
import org.knapweedhatch.world.RateLimit;
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
    public static final Duration TICK = Duration.ofMillis(50);

    private static final long STEWARD_NANOS = Duration.ofMillis(250).toNanos();
    private static final long NEWS_NANOS = Duration.ofMillis(500).toNanos();
    private static final long REQUEST_MEMORY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int LOAN_BITS = 24;
    private static final Admission UNKNOWN = new Admission.Refused(Duration.ofMinutes(1), RefusalReason.UNKNOWN_LIMIT);

    private record MessageKey(String host, long incarnation, LimitId limit, long id) {}

    private record Part(Bucket bucket, Borrower borrower, Lender lender) {}

    private final LimitSettings settings;
    private final Host self;
    private final long incarnation;
    private final TimeSource time;
    private final long origin;
    private final EventSink events;
    private final ConcurrentHashMap<LimitId, Part> parts = new ConcurrentHashMap<>();
    private final Object control = new Object();
    private final Fence fence;
    private final Steward steward;
    private final LinkedHashMap<MessageKey, Long> answered = new LinkedHashMap<>();
    private View view;
    private long configured = -1;
    private long usableUntil;
    private long stewardAt = Long.MIN_VALUE;
    private SplitProposal proposal;
    private long lastLoan;

    private Limiter(LimitSettings settings, Host self, long incarnation, TimeSource time, EventSink events) {
        this.settings = settings;
        this.self = self;
        this.incarnation = incarnation;
        this.time = time;
        this.events = events;
        origin = time.nanos();
        lastLoan = incarnation << LOAN_BITS;
        fence = new Fence(self.name(), incarnation, settings, 0);
        steward = new Steward(self, incarnation, settings, fence);
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
    public void queue(LimitId limit, long amount) {
        Part part = parts.get(limit);
        if (part != null) {
            part.bucket().queue(amount);
        }
    }

    private Admission admit(LimitId limit, long amount, boolean repeat) {
        Part part = parts.get(limit);
        return part == null ? UNKNOWN : part.bucket().admit(amount, repeat);
    }

    /** Puts the contracts and links of a configuration in force; an earlier number is ignored. */
    public void configure(Configuration configuration) {
        synchronized (control) {
            if (configuration.number() <= configured) {
                return;
            }
            configured = configuration.number();
            Map<LimitId, RateLimit> contracts = contracts(configuration);
            parts.keySet().retainAll(contracts.keySet());
            contracts.forEach(this::declare);
            refresh(true);
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

    private void declare(LimitId limit, RateLimit contract) {
        Part part = parts.get(limit);
        if (part != null) {
            part.bucket().contract(contract);
            return;
        }
        Bucket bucket = new Bucket(contract, settings.drift(), this::now);
        Borrower borrower = new Borrower(limit, bucket, settings, incarnation, this::now);
        Lender lender = new Lender(bucket, settings, this::now, () -> ++lastLoan);
        parts.put(limit, new Part(bucket, borrower, lender));
    }

    /** Takes in the members as this host sees them now. */
    public void members(View next) {
        synchronized (control) {
            view = next;
            steward.members(next);
        }
    }

    /** Takes in the split as read from the platform; an older one than the one known is ignored. */
    public void split(Split next) {
        synchronized (control) {
            readSplit(next);
        }
    }

    private void readSplit(Split next) {
        if (steward.read(next)) {
            events.record(EventKind.SHARE, self.name(), "split " + next.version() + " in force");
            refresh(true);
        }
    }

    /** Returns the split that is in force. */
    public Split split() {
        synchronized (control) {
            return steward.split();
        }
    }

    /** Does what is due by time and returns the messages to send. */
    public List<Outgoing> tick() {
        synchronized (control) {
            long now = now();
            List<Outgoing> out = new ArrayList<>(fence.ask(steward.split(), now));
            if (stewardAt == Long.MIN_VALUE || now - stewardAt >= STEWARD_NANOS) {
                stewardAt = now;
                steward.propose(now).ifPresent(p -> proposal = p);
                refresh(true);
            }
            refresh(false);
            for (Part part : parts.values()) {
                out.addAll(part.borrower().release());
                out.addAll(part.lender().retry());
                out.addAll(plan(part));
            }
            forgetAnswered(now);
            return out;
        }
    }

    private List<Outgoing> plan(Part part) {
        return part.borrower().plan(steward.split(), self.name(), this::isReachable);
    }

    private boolean isReachable(String host) {
        return view.member(host)
                .map(m -> m.state() == MemberState.ALIVE || m.state() == MemberState.LEAVING)
                .orElse(false);
    }

    /** Returns the conditional update to try now; each is returned once and must be answered by {@link #decided}. */
    public Optional<SplitProposal> proposal() {
        synchronized (control) {
            Optional<SplitProposal> next = Optional.ofNullable(proposal);
            proposal = null;
            return next;
        }
    }

    /** Takes in how a proposal ended; returns whether the split must be read back. */
    public boolean decided(SplitProposal tried, SplitOutcome outcome) {
        synchronized (control) {
            boolean read = steward.decided(tried, outcome, now());
            events.record(EventKind.SHARE, self.name(), "split " + tried.split().version() + " " + outcome);
            refresh(true);
            return read;
        }
    }

    /** Takes in a message of a host and returns the messages to send. */
    public List<Outgoing> receive(String fromHost, PeerMessage message) {
        synchronized (control) {
            if (message instanceof Confirm confirm) {
                return receive(fromHost, confirm);
            }
            if (message instanceof SplitNews news) {
                readSplit(Split.parse(news.text()));
            } else if (message instanceof LoanRequest request) {
                return lend(fromHost, request);
            } else if (message instanceof LoanRelease release) {
                return takeBack(fromHost, release);
            } else if (message instanceof LoanGrant grant) {
                return borrow(fromHost, grant);
            }
            return List.of();
        }
    }

    private List<Outgoing> receive(String from, Confirm confirm) {
        long now = now();
        List<Outgoing> out = new ArrayList<>();
        fence.receive(from, confirm, steward.split(), now).ifPresent(answer -> out.add(new Outgoing(from, answer)));
        Peer peer = fence.peer(from);
        boolean rested = peer.newsSentAt == Long.MIN_VALUE || now - peer.newsSentAt > NEWS_NANOS;
        if (confirm.version() < steward.split().version() && rested) {
            peer.newsSentAt = now;
            out.add(new Outgoing(from, new SplitNews(steward.split().text())));
        }
        if (confirm.answer()) {
            refresh(false);
        }
        return out;
    }

    private List<Outgoing> lend(String from, LoanRequest request) {
        Part part = parts.get(request.limit());
        if (part == null || isRepeated(from, request.incarnation(), request.limit(), request.id())) {
            return List.of();
        }
        return List.of(part.lender().answer(from, request));
    }

    private List<Outgoing> takeBack(String from, LoanRelease release) {
        Part part = parts.get(release.limit());
        if (part == null || isRepeated(from, release.incarnation(), release.limit(), release.id())) {
            return List.of();
        }
        return part.lender().released(from, release);
    }

    private boolean isRepeated(String from, long fromIncarnation, LimitId limit, long id) {
        return answered.putIfAbsent(new MessageKey(from, fromIncarnation, limit, id), now()) != null;
    }

    private List<Outgoing> borrow(String from, LoanGrant grant) {
        Part part = parts.get(grant.limit());
        if (part == null) {
            return List.of();
        }
        part.borrower().granted(from, grant);
        return plan(part);
    }

    private void forgetAnswered(long now) {
        Iterator<Long> oldest = answered.values().iterator();
        while (oldest.hasNext() && now - oldest.next() > REQUEST_MEMORY_NANOS) {
            oldest.remove();
        }
    }

    /** Brings the owned shares and their end up to date. */
    private void refresh(boolean sharesChanged) {
        long until = fence.usableUntil(steward.split(), now());
        if (!sharesChanged && until == usableUntil) {
            return;
        }
        usableUntil = until;
        parts.forEach((limit, part) -> part.bucket().own(steward.share(limit), until));
    }

    /** Begins to hand over: shares go to other hosts, and nothing new is taken. */
    public void leave() {
        synchronized (control) {
            steward.leave();
            events.record(EventKind.LEAVING, self.name(), "handing shares over");
        }
    }

    /** Returns whether the hand-over is complete. */
    public boolean hasLeft() {
        synchronized (control) {
            return steward.hasLeft();
        }
    }

    /** Returns every limit as this host sees it now. */
    public List<LimitMetrics> metrics() {
        return parts.entrySet().stream()
                .map(e -> e.getValue().bucket().metrics(e.getKey()))
                .sorted(Comparator.comparing(m -> m.limit().toString()))
                .toList();
    }
}
