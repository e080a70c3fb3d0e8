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

/** Hosts of one region that fail in every way, the agreed roster, and the targets' own record of what runs. */
final class SlotWorld {

    static final SlotTerms TERMS = new SlotTerms(Duration.ofSeconds(2), Duration.ofSeconds(3));
    private static final long MILLI = 1_000_000;

    private final Random random;
    private final Configuration configuration;
    private final Map<String, Process> processes = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(Comparator.comparingLong(Delivery::at));
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Integer> side = new HashMap<>();
    private final Map<String, Integer> incarnations = new HashMap<>();
    private Roster roster;
    private long now;
    private int worst;
    private boolean calm;

    private record Delivery(long at, String from, String to, PeerMessage message) {}

    private record Run(String target, long end) {}

    private record Held(Target target, long end) {}

    /** One process with a clock that drifts. */
    private final class Process implements TimeSource {
        private final Slots slots;
        private final List<Held> held = new ArrayList<>();
        private final double speed;
        private boolean paused;
        private boolean dead;

        Process(String name, long incarnation, double speed) {
            this.speed = speed;
            slots = Slots.of(name, incarnation, incarnation == 1, TERMS, this);
            slots.configure(configuration);
        }

        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public long nanos() {
            return (long) (now * speed);
        }
    }

    SlotWorld(long seed) {
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
        for (String far : List.of("far-1", "far-2", "far-3")) {
            entries.add(new Roster.Entry(far, "arequipa", far, 1, true));
        }
        roster = Roster.of(1, 1, entries);
        roster.entries().keySet().forEach(name -> {
            incarnations.put(name, 1);
            start(name, 1);
        });
        processes.values().forEach(p -> p.slots.adopt(roster));
    }

    private void start(String name, long incarnation) {
        processes.put(name, new Process(name, incarnation, 1 + (random.nextDouble() - 0.5) * 0.02));
    }

    /** Runs for a time, with faults or without. */
    void run(Duration time, boolean faults) {
        long end = now + time.toNanos();
        while (now < end) {
            now += 50 * MILLI;
            if (faults && random.nextInt(10) == 0) {
                fault();
            }
            deliver();
            processes.forEach(this::act);
        }
    }

    /** Ends every partition and pause, starts what is dead and makes all hosts active. */
    void heal() {
        side.clear();
        calm = true;
        for (String name : List.copyOf(processes.keySet())) {
            processes.get(name).paused = false;
            if (processes.get(name).dead) {
                replace(name);
            }
        }
        for (Roster.Entry e : List.copyOf(roster.entries().values())) {
            change(e.host(), e.incarnation(), true);
        }
    }

    private void fault() {
        List<String> names = List.copyOf(processes.keySet());
        String name = names.get(random.nextInt(names.size()));
        Process process = processes.get(name);
        switch (random.nextInt(10)) {
            case 0 -> side.put(name, random.nextInt(3));
            case 1 -> side.clear();
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
            default -> change(name, roster.entries().get(name).incarnation(), random.nextBoolean());
        }
    }

    private void join() {
        String name = (random.nextBoolean() ? "a-" : "b-") + (1 + random.nextInt(3));
        if (!processes.containsKey(name)) {
            long incarnation = incarnations.merge(name, 1, Integer::sum);
            start(name, incarnation);
            put(new Roster.Entry(name, "lima", "lima-" + name.charAt(0), incarnation, true));
            side.put(name, random.nextInt(2));
        }
    }

    /** Removes a host for good, whose process is proved gone. */
    private void remove(String name, Process process) {
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
        change(name, next, true);
    }

    private void change(String name, long incarnation, boolean active) {
        Roster.Entry old = roster.entries().get(name);
        put(new Roster.Entry(name, old.region(), old.domain(), incarnation, active));
    }

    private void put(Roster.Entry entry) {
        Map<String, Roster.Entry> entries = new HashMap<>(roster.entries());
        entries.put(entry.host(), entry);
        roster = roster.next(entries.values());
    }

    private void deliver() {
        while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
            Delivery delivery = deliveries.poll();
            Process to = processes.get(delivery.to());
            if (to == null) {
                continue;
            }
            if (to.paused) {
                deliveries.add(new Delivery(now + 100 * MILLI, delivery.from(), delivery.to(), delivery.message()));
                return;
            }
            if (to.dead || apart(delivery.from(), delivery.to())) {
                continue;
            }
            if (delivery.message() instanceof RosterAsk ask) {
                to.slots.on(delivery.from(), ask).ifPresent(reply -> send(delivery.to(), delivery.from(), reply));
            } else if (delivery.message() instanceof RosterReply reply) {
                to.slots.on(delivery.from(), reply);
            }
        }
    }

    private boolean apart(String one, String other) {
        return !side.getOrDefault(one, 0).equals(side.getOrDefault(other, 0));
    }

    private void send(String from, String to, PeerMessage message) {
        if (calm || random.nextInt(20) > 0) {
            deliveries.add(new Delivery(now + random.nextInt(calm ? 40 : 400) * MILLI, from, to, message));
        }
    }

    private void act(String name, Process process) {
        if (process.paused || process.dead) {
            return;
        }
        process.held.removeIf(held -> {
            boolean over = held.end() <= now;
            if (over) {
                process.slots.release(held.target());
            }
            return over;
        });
        if (random.nextInt(calm ? 4 : 30) == 0) {
            process.slots.adopt(roster);
        }
        if (calm || random.nextInt(8) == 0) {
            for (OutgoingMessage ask : process.slots.tick()) {
                send(name, ask.toHost(), ask.message());
            }
        }
        for (Target target : configuration.targets().values()) {
            while (process.slots.take(target)) {
                long end = now + random.nextInt(3000) * MILLI;
                process.held.add(new Held(target, end));
                runs.add(new Run(target.name(), end));
                check(target);
            }
        }
    }

    private void check(Target target) {
        runs.removeIf(run -> run.end() <= now);
        long running =
                runs.stream().filter(run -> run.target().equals(target.name())).count();
        worst = Math.max(worst, (int) running - target.slots());
    }

    /** Returns by how many the requests at a target ever exceeded its slots; negative where they never did. */
    int worst() {
        return worst;
    }

    /** Returns how many slots all hosts together may use now. */
    int usable() {
        return configuration.targets().values().stream()
                .mapToInt(t -> processes.values().stream()
                        .mapToInt(p -> p.slots.holding(t).slots(t))
                        .sum())
                .sum();
    }

    int allSlots() {
        return configuration.targets().values().stream().mapToInt(Target::slots).sum();
    }
}
