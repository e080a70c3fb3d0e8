package org.knapweedhatch.steer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Target;

/**
 * Simulation of the hosts of one region under random faults, with the agreed roster and the requests that really run at
 * each target; three remote hosts complete the majority.
 */
final class SlotSimulation {

    static final SlotTimings TIMINGS = new SlotTimings(Duration.ofSeconds(2), Duration.ofSeconds(3));
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Random random;
    private final Configuration configuration;
    private final Map<String, SimulatedProcess> processes = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(Comparator.comparingLong(Delivery::at));
    private final List<RunningRequest> runningRequests = new ArrayList<>();
    private final Map<String, Integer> partitions = new HashMap<>();
    private final Map<String, Integer> incarnations = new HashMap<>();
    private Roster roster;
    private long now;
    private int worstExcess;
    private boolean healed;

    private record Delivery(long at, String from, String to, PeerMessage message) {}

    private record RunningRequest(String target, long end) {}

    private record HeldSlot(Target target, long end) {}

    /** One host process, whose clock drifts. */
    private final class SimulatedProcess implements TimeSource {
        private final Slots slots;
        private final List<HeldSlot> heldSlots = new ArrayList<>();
        private final double clockSpeed;
        private boolean paused;
        private boolean dead;

        SimulatedProcess(String name, long incarnation, double speed) {
            this.clockSpeed = speed;
            slots = Slots.of(name, incarnation, incarnation == 1, TIMINGS, this);
            slots.configure(configuration);
        }

        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public long nanos() {
            return (long) (now * clockSpeed);
        }
    }

    SlotSimulation(long seed) {
        random = new Random(seed);
        Configuration.Builder builder = Configuration.builder().region(new Region("lima"));
        List<Roster.Entry> entries = new ArrayList<>();
        for (String domain : List.of("lima-a", "lima-b")) {
            builder.domain(new FailureDomain(domain, "lima"));
            for (int i = 1; i <= 3; i++) {
                Address address = new Address("127.0.0.1", 9000 + i);
                builder.target(new Target(domain + "-t" + i, "orders", domain, address, 2 + i, 330));
            }
        }
        configuration = builder.build(1);
        for (String name : List.of("a-1", "a-2", "b-1", "b-2")) {
            entries.add(new Roster.Entry(name, "lima", "lima-" + name.charAt(0), 1, true));
        }
        for (String remote : List.of("far-1", "far-2", "far-3")) {
            entries.add(new Roster.Entry(remote, "arequipa", remote, 1, true));
        }
        roster = Roster.of(1, 1, entries);
        roster.entries().keySet().forEach(name -> {
            incarnations.put(name, 1);
            start(name, 1);
        });
        processes.values().forEach(p -> p.slots.adopt(roster));
    }

    private void start(String name, long incarnation) {
        processes.put(name, new SimulatedProcess(name, incarnation, 1 + (random.nextDouble() - 0.5) * 0.02));
    }

    /** Simulates a duration, with or without random faults. */
    void run(Duration time, boolean faults) {
        long end = now + time.toNanos();
        while (now < end) {
            now += 50 * NANOS_PER_MILLI;
            if (faults && random.nextInt(10) == 0) {
                injectFault();
            }
            deliver();
            processes.forEach(this::step);
        }
    }

    /** Ends all partitions and pauses, restarts dead processes and makes all hosts active. */
    void heal() {
        partitions.clear();
        healed = true;
        for (String name : List.copyOf(processes.keySet())) {
            processes.get(name).paused = false;
            if (processes.get(name).dead) {
                replace(name);
            }
        }
        for (Roster.Entry e : List.copyOf(roster.entries().values())) {
            setActive(e.host(), e.incarnation(), true);
        }
    }

    private void injectFault() {
        List<String> names = List.copyOf(processes.keySet());
        String name = names.get(random.nextInt(names.size()));
        SimulatedProcess process = processes.get(name);
        switch (random.nextInt(10)) {
            case 0 -> partitions.put(name, random.nextInt(3));
            case 1 -> partitions.clear();
            case 2 -> process.paused = true;
            case 3 -> process.paused = false;
            case 4 -> process.dead = true;
            case 5 -> {
                if (process.dead) {
                    replace(name);
                }
            }
            case 6 -> join();
            case 7 -> remove(name, process);
            default -> setActive(name, roster.entries().get(name).incarnation(), random.nextBoolean());
        }
    }

    private void join() {
        String name = (random.nextBoolean() ? "a-" : "b-") + (1 + random.nextInt(3));
        if (!processes.containsKey(name)) {
            long incarnation = incarnations.merge(name, 1, Integer::sum);
            start(name, incarnation);
            publish(new Roster.Entry(name, "lima", "lima-" + name.charAt(0), incarnation, true));
            partitions.put(name, random.nextInt(2));
        }
    }

    /** Removes a host from the roster if its process is dead. */
    private void remove(String name, SimulatedProcess process) {
        if (process.dead && !name.startsWith("far")) {
            Map<String, Roster.Entry> entries = new HashMap<>(roster.entries());
            entries.remove(name);
            roster = roster.next(entries.values());
            processes.remove(name);
        }
    }

    private void replace(String name) {
        long next = incarnations.merge(name, 1, Integer::sum);
        start(name, next);
        setActive(name, next, true);
    }

    private void setActive(String name, long incarnation, boolean active) {
        Roster.Entry old = roster.entries().get(name);
        publish(new Roster.Entry(name, old.region(), old.domain(), incarnation, active));
    }

    private void publish(Roster.Entry entry) {
        Map<String, Roster.Entry> entries = new HashMap<>(roster.entries());
        entries.put(entry.host(), entry);
        roster = roster.next(entries.values());
    }

    private void deliver() {
        while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
            Delivery delivery = deliveries.poll();
            SimulatedProcess to = processes.get(delivery.to());
            if (to == null) {
                continue;
            }
            if (to.paused) {
                deliveries.add(
                        new Delivery(now + 100 * NANOS_PER_MILLI, delivery.from(), delivery.to(), delivery.message()));
                return;
            }
            if (to.dead || isPartitioned(delivery.from(), delivery.to())) {
                continue;
            }
            if (delivery.message() instanceof RosterAsk ask) {
                to.slots.receive(delivery.from(), ask).ifPresent(reply -> send(delivery.to(), delivery.from(), reply));
            } else if (delivery.message() instanceof RosterReply reply) {
                to.slots.receive(delivery.from(), reply);
            }
        }
    }

    private boolean isPartitioned(String one, String other) {
        return !partitions.getOrDefault(one, 0).equals(partitions.getOrDefault(other, 0));
    }

    private void send(String from, String to, PeerMessage message) {
        if (healed || random.nextInt(20) > 0) {
            deliveries.add(new Delivery(now + random.nextInt(healed ? 40 : 400) * NANOS_PER_MILLI, from, to, message));
        }
    }

    private void step(String name, SimulatedProcess process) {
        if (process.paused || process.dead) {
            return;
        }
        process.heldSlots.removeIf(held -> {
            boolean over = held.end() <= now;
            if (over) {
                process.slots.release(held.target());
            }
            return over;
        });
        if (random.nextInt(healed ? 4 : 30) == 0) {
            process.slots.adopt(roster);
        }
        if (healed || random.nextInt(8) == 0) {
            for (OutgoingMessage ask : process.slots.tick()) {
                send(name, ask.toHost(), ask.message());
            }
        }
        for (Target target : configuration.targets().values()) {
            while (process.slots.tryAcquire(target)) {
                long end = now + random.nextInt(3000) * NANOS_PER_MILLI;
                process.heldSlots.add(new HeldSlot(target, end));
                runningRequests.add(new RunningRequest(target.name(), end));
                recordExcess(target);
            }
        }
    }

    private void recordExcess(Target target) {
        runningRequests.removeIf(run -> run.end() <= now);
        long running = runningRequests.stream()
                .filter(run -> run.target().equals(target.name()))
                .count();
        worstExcess = Math.max(worstExcess, (int) running - target.slots());
    }

    /**
     * Returns the maximum number by which the requests at a target exceeded its slots; not positive if they never did.
     */
    int worstExcess() {
        return worstExcess;
    }

    /** Returns how many slots all hosts together may use now. */
    int usableSlots() {
        return configuration.targets().values().stream()
                .mapToInt(t -> processes.values().stream()
                        .mapToInt(p -> p.slots.allowance(t).slots(t))
                        .sum())
                .sum();
    }

    int totalSlots() {
        return configuration.targets().values().stream().mapToInt(Target::slots).sum();
    }
}
