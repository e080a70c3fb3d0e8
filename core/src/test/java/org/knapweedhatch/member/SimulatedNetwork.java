package org.knapweedhatch.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.ToLongBiFunction;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** Simulates the hosts of several regions on one manual clock, with message delays and partitions. */
final class SimulatedNetwork {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TICK = Membership.TICK;

    private record InFlight(long due, long order, String from, OutgoingMessage outgoing) {}

    /** A process on a host; its wall clock may differ from that of the others. */
    static final class Process {
        final Host host;
        final Membership membership;
        final List<String> events = new ArrayList<>();
        long configuration = 1;

        private Process(Host host, List<Host> seeds, TimeSource time, long seed) {
            this.host = host;
            this.membership = Membership.builder(host, time)
                    .events((kind, subject, detail) -> events.add(subject + " " + detail))
                    .configuration(() -> configuration)
                    .seeds(seeds)
                    .seed(seed)
                    .build();
        }

        MemberState stateOf(String name) {
            return membership.view().member(name).map(Member::state).orElse(null);
        }
    }

    final ManualTime time = ManualTime.startingAt(START);
    final Map<String, Host> hosts = new LinkedHashMap<>();
    final Map<String, Process> processes = new LinkedHashMap<>();
    final Set<String> paused = new HashSet<>();
    BiPredicate<String, String> cut = (from, to) -> false;
    ToLongBiFunction<Host, Host> delayMillis = (from, to) -> from.region().equals(to.region()) ? 5 : 35;
    List<ListedHost> listed = List.of();
    long messages;
    private final PriorityQueue<InFlight> inFlight = new PriorityQueue<>(
            (a, b) -> a.due() != b.due() ? Long.compare(a.due(), b.due()) : Long.compare(a.order(), b.order()));
    private long order;
    private final long seed;

    private SimulatedNetwork(long seed) {
        this.seed = seed;
    }

    /** Creates regions r0, r1.. of domains r0a, r0b.. of hosts r0a-0, r0a-1.. and starts them all. */
    static SimulatedNetwork of(long seed, int regions, int domains, int perDomain) {
        SimulatedNetwork net = new SimulatedNetwork(seed);
        for (int r = 0; r < regions; r++) {
            for (int d = 0; d < domains; d++) {
                for (int h = 0; h < perDomain; h++) {
                    net.add("r" + r, "r" + r + (char) ('a' + d), h);
                }
            }
        }
        net.listAll();
        net.hosts.keySet().forEach(net::start);
        return net;
    }

    /** Creates hosts as {@link #of} does, but each initially knows only one seed host of each region. */
    static SimulatedNetwork ofSeeds(long seed, int regions, int domains, int perDomain) {
        SimulatedNetwork net = of(seed, regions, domains, perDomain);
        net.processes.clear();
        net.inFlight.clear();
        net.listed = List.of();
        List<Host> seeds = net.hosts.values().stream()
                .filter(host -> host.name().endsWith("a-0"))
                .toList();
        net.hosts.keySet().forEach(name -> net.start(name, seeds, Duration.ZERO));
        return net;
    }

    private void add(String region, String domain, int number) {
        String name = domain + "-" + number;
        int port = 1000 + hosts.size();
        hosts.put(name, new Host(name, region, domain, new Address("10.0.0.1", port), new Address("10.0.0.2", port)));
    }

    void listAll() {
        listed =
                hosts.values().stream().map(host -> new ListedHost(host, false)).toList();
    }

    Process start(String name) {
        return start(name, List.of(), Duration.ZERO);
    }

    /** Starts a process whose wall clock differs by {@code skew}. */
    Process start(String name, List<Host> seeds, Duration skew) {
        TimeSource skewed = new TimeSource() {
            @Override
            public Instant now() {
                return time.now().plus(skew);
            }

            @Override
            public long nanos() {
                return time.nanos();
            }
        };
        Process process = new Process(hosts.get(name), seeds, skewed, seed * 1_000_003 + name.hashCode() + order++);
        process.membership.updateHostList(listed);
        processes.put(name, process);
        return process;
    }

    void kill(String name) {
        processes.remove(name);
    }

    Process at(String name) {
        return processes.get(name);
    }

    Process add(String region, String domain, int number, boolean list) {
        add(region, domain, number);
        if (list) {
            listAll();
        }
        return start(domain + "-" + number);
    }

    void run(Duration span) {
        long end = time.nanos() + span.toNanos();
        while (time.nanos() < end) {
            time.advance(TICK);
            deliver();
            for (Process process : List.copyOf(processes.values())) {
                if (!paused.contains(process.host.name())) {
                    send(process.host.name(), process.membership.tick());
                }
            }
        }
    }

    void send(String from, List<OutgoingMessage> outgoing) {
        for (OutgoingMessage message : outgoing) {
            messages++;
            Host to = hosts.get(message.toHost());
            if (to == null || cut.test(from, message.toHost())) {
                continue;
            }
            long due = time.nanos() + delayMillis.applyAsLong(hosts.get(from), to) * 1_000_000L;
            inFlight.add(new InFlight(due, order++, from, message));
        }
    }

    private void deliver() {
        List<InFlight> held = new ArrayList<>();
        while (!inFlight.isEmpty() && inFlight.peek().due() <= time.nanos()) {
            InFlight next = inFlight.poll();
            String to = next.outgoing().toHost();
            if (paused.contains(to)) {
                held.add(next);
            } else if (processes.containsKey(to)) {
                send(to, at(to).membership.receive(next.from(), next.outgoing().message()));
            }
        }
        inFlight.addAll(held);
    }

    /** Returns the set of states in which the other processes see a host; contains null if one does not know it. */
    Set<MemberState> statesOf(String name) {
        Set<MemberState> states = new HashSet<>();
        processes.values().stream().filter(p -> !p.host.name().equals(name)).forEach(p -> states.add(p.stateOf(name)));
        return states;
    }

    /** Returns the set of states in which the other processes of a region see a host. */
    Set<MemberState> statesInRegion(String region, String name) {
        Set<MemberState> states = new HashSet<>();
        processes.values().stream()
                .filter(p -> p.host.region().equals(region) && !p.host.name().equals(name))
                .forEach(p -> states.add(p.stateOf(name)));
        return states;
    }

    /** Returns the state of a host by the name of the observing process, for failure messages. */
    Map<String, MemberState> statesByObserver(String name) {
        Map<String, MemberState> views = new LinkedHashMap<>();
        processes.values().forEach(p -> views.put(p.host.name(), p.stateOf(name)));
        return views;
    }

    String domainOf(String name) {
        return hosts.get(name).domain();
    }
}
