package org.knapweedhatch.answer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.steer.ClientTable;
import org.knapweedhatch.steer.LookUp;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;

/** A discrete-event simulation of callers, hosts and targets. */
final class FakeWorld {

    static final Duration TO_CLIENT = Duration.ofMillis(8);

    final Deployment deployment;
    final Random random;
    final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    final Map<String, FakeTarget> targets = new TreeMap<>();
    final Map<String, FakeHost> hosts = new TreeMap<>();
    final List<Call> calls = new ArrayList<>();
    final Set<String> cutOff = new HashSet<>();
    final Duration timeout;
    Duration serviceTime = Duration.ofMillis(40);
    double faultRate;
    ReportFault reportFault = ReportFault.NONE;
    final Map<String, Long> linkBytes = new HashMap<>();
    final Map<String, Long> linkBytesTaken = new HashMap<>();
    final Map<String, Set<Long>> shifted = new TreeMap<>();
    final Map<String, Long> arrivalsByOrigin = new TreeMap<>();
    long linkBytesLimit = Long.MAX_VALUE;

    /** Faults of the load reports that hosts exchange. */
    enum ReportFault {
        NONE,
        MISSING,
        LATE,
        FROZEN,
        WRONG
    }

    Roster roster;
    private final PriorityQueue<ScheduledAction> schedule = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::at).thenComparingLong(ScheduledAction::order));
    private final Map<String, Integer> incarnations = new HashMap<>();
    private long order;
    private long nextRun;

    private record ScheduledAction(long at, long order, Runnable action) {}

    FakeWorld(Deployment deployment, Duration timeout, long seed, boolean naive) {
        this.deployment = deployment;
        this.timeout = timeout;
        random = new Random(seed);
        roster = deployment.roster();
        for (Target target : deployment.configuration().targets().values()) {
            targets.put(target.name(), new FakeTarget(target));
        }
        for (Host host : deployment.hosts()) {
            incarnations.put(host.name(), 1);
            hosts.put(host.name(), naive ? new NaiveHost(host, this) : new RealHost(host, this, 1));
        }
        refreshViews();
    }

    void after(Duration delay, Runnable action) {
        schedule.add(new ScheduledAction(time.nanos() + delay.toNanos(), order++, action));
    }

    void at(Duration sinceStart, Runnable action) {
        schedule.add(new ScheduledAction(sinceStart.toNanos(), order++, action));
    }

    /** Runs the scheduled actions up to a time since the start. */
    void run(Duration until) {
        long end = until.toNanos();
        while (!schedule.isEmpty() && schedule.peek().at() <= end) {
            ScheduledAction step = schedule.poll();
            time.advanceTo(step.at());
            step.action().run();
        }
        time.advanceTo(end);
    }

    void refreshViews() {
        hosts.values().forEach(host -> host.view(viewOf(host.self().name())));
    }

    MembershipView viewOf(String name) {
        List<Member> members = deployment.hosts().stream()
                .map(h -> new Member(h, incarnations.get(h.name()), stateOf(name, h), 1, Load.NONE))
                .toList();
        return MembershipView.of(name, members);
    }

    private MemberState stateOf(String viewer, Host host) {
        boolean seen = !hosts.get(host.name()).dead() && reaches(viewer, host.name());
        return seen ? MemberState.ALIVE : MemberState.SILENT;
    }

    /** Returns whether two hosts can exchange messages; hosts of a partitioned domain reach only that domain. */
    boolean reaches(String one, String other) {
        String oneDomain = hosts.get(one).self().domain();
        String otherDomain = hosts.get(other).self().domain();
        return oneDomain.equals(otherDomain) || !cutOff.contains(oneDomain) && !cutOff.contains(otherDomain);
    }

    /** Kills a host; views show it after 1 s, the roster marks it inactive after 3 s and removes it after 5 s. */
    void kill(String host) {
        hosts.get(host).kill();
        after(Duration.ofSeconds(1), this::refreshViews);
        after(Duration.ofSeconds(3), () -> {
            if (hosts.get(host).dead()) {
                change(host, incarnations.get(host), false);
            }
        });
        after(Duration.ofSeconds(5), () -> {
            if (hosts.get(host).dead()) {
                remove(host);
            }
        });
    }

    private void remove(String host) {
        Map<String, Roster.Entry> entries = new HashMap<>(roster.entries());
        entries.remove(host);
        distribute(roster.next(entries.values()));
    }

    /** Starts a new process under the name of a dead host. */
    void restart(String host) {
        int incarnation = incarnations.merge(host, 1, Integer::sum);
        RealHost process = new RealHost(hosts.get(host).self(), this, incarnation);
        hosts.put(host, process);
        change(host, incarnation, true);
        after(Duration.ofSeconds(1), this::refreshViews);
    }

    void change(String host, long incarnation, boolean active) {
        Map<String, Roster.Entry> entries = new HashMap<>(roster.entries());
        Host self = hosts.get(host).self();
        entries.put(host, new Roster.Entry(host, self.region(), self.domain(), incarnation, active));
        distribute(roster.next(entries.values()));
    }

    private void distribute(Roster next) {
        roster = next;
        hosts.values().forEach(h -> after(Duration.ofMillis(random.nextInt(500)), () -> h.adopt(next)));
    }

    /** Sends a caller's request to the first live host in the order of the look-up. */
    void call(Call call) {
        calls.add(call);
        Collection<Host> choices = choices(call);
        for (Host choice : choices) {
            FakeHost host = hosts.get(choice.name());
            if (!host.dead()) {
                after(TO_CLIENT, () -> arrive(host, call));
                return;
            }
        }
        end(call, Call.End.NO_HOST, null);
    }

    private void arrive(FakeHost host, Call call) {
        arrivalsByOrigin.merge(window() + call.origin, 1L, Long::sum);
        if (host.dead()) {
            end(call, Call.End.BROKEN, null);
        } else {
            host.arrive(call);
        }
    }

    private Collection<Host> choices(Call call) {
        FakeHost any = hosts.values().stream()
                .filter(h -> !h.dead() && h.self().region().equals(call.origin))
                .findFirst()
                .or(() -> hosts.values().stream().filter(h -> !h.dead()).findFirst())
                .orElseThrow();
        LookUp lookUp = LookUp.of(
                ClientTable.of(List.of()),
                deployment.configuration(),
                viewOf(any.self().name()),
                (from, to) -> from.equals(to) ? Duration.ZERO : deployment.betweenRegions());
        List<Host> first = new ArrayList<>();
        List<Host> rest = new ArrayList<>();
        lookUp.answer("10.0.0.1", call.team).choices().forEach(c -> (c.rank() == 0 ? first : rest).add(c.host()));
        Collections.shuffle(first, random);
        first.addAll(rest);
        return first;
    }

    /** Records the result of a call; only the first result of a call counts. */
    void end(Call call, Call.End outcome, Reason reason) {
        if (call.outcome == null) {
            call.outcome = outcome;
            call.reason = reason;
            call.end = time.nanos() + TO_CLIENT.toNanos();
        }
    }

    /** Takes bytes from a link's budget, which covers the whole run; returns false if too few are left. */
    boolean takeLink(String from, String to, long bytes) {
        String link = from + "->" + to;
        if (linkBytesTaken.getOrDefault(link, 0L) + bytes > linkBytesLimit) {
            return false;
        }
        linkBytesTaken.merge(link, bytes, Long::sum);
        return true;
    }

    /** Records the bytes that relaying a request between two regions puts on their links. */
    void recordLinkTraffic(String from, String to) {
        if (!from.equals(to)) {
            linkBytes.merge(from + "->" + to, 500L, Long::sum);
            linkBytes.merge(to + "->" + from, 2000L, Long::sum);
        }
    }

    /** Records that a request is placed in another region than its caller's. */
    void recordPlacement(Call call, String region) {
        if (!call.origin.equals(region)) {
            String pair = call.origin + "->" + region;
            boolean known = shifted.values().stream().anyMatch(calls -> calls.contains(call.id));
            if (!known) {
                shifted.computeIfAbsent(window() + pair, key -> new HashSet<>()).add(call.id);
            }
        }
    }

    private String window() {
        return time.nanos() / Duration.ofSeconds(10).toNanos() + " ";
    }

    long newRun() {
        return ++nextRun;
    }

    Duration drawServiceTime(FakeTarget target) {
        double spread = 0.5 + random.nextDouble();
        boolean cold = time.nanos() < target.coldUntil;
        return Duration.ofNanos((long) (serviceTime.toNanos() * spread * target.slowness * (cold ? 3 : 1)));
    }

    boolean drawFault() {
        return faultRate > 0 && random.nextDouble() < faultRate;
    }
}
