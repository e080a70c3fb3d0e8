package org.knapweedhatch.benchmarks.steer;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.steer.ClientTable;
import org.knapweedhatch.steer.LookUp;
import org.knapweedhatch.steer.Placement;
import org.knapweedhatch.steer.RegionLatencies;
import org.knapweedhatch.steer.RelayResult;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.RosterAsk;
import org.knapweedhatch.steer.RosterReply;
import org.knapweedhatch.steer.SlotTimings;
import org.knapweedhatch.steer.Slots;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.steer.SteeringJob;
import org.knapweedhatch.steer.TargetResult;
import org.knapweedhatch.world.ClientBlock;
import org.knapweedhatch.world.Host;

/** Prints the rates, times and memory of the client table, the look-up and the steering on one core. */
public final class SteerMeasure {

    private static final int ROUNDS = 3;
    private static final int LOOK_UPS = 1_000_000;
    private static final int DECISIONS = 100_000;
    private static final int CHANGED = 1_000;
    private static final int BLOCK_BYTES = 7;

    private SteerMeasure() {}

    /** Runs all measurements; each is repeated, and the last round is printed. */
    public static void main(String[] args) {
        Fleet fleet = new Fleet();
        List<ClientBlock> blocks = Fleet.blocks();
        long before = usedBytes();
        ClientTable table = ClientTable.of(blocks);
        System.out.printf("table of %d blocks: %.1f MB%n", table.size(), (usedBytes() - before) / 1e6);
        for (int round = 1; round <= ROUNDS; round++) {
            boolean print = round == ROUNDS;
            measureDelta(table, blocks, print);
            measureLookUps(table, fleet, print);
            measureDecisions(fleet, print);
        }
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void measureDelta(ClientTable table, List<ClientBlock> blocks, boolean print) {
        List<ClientBlock> changed = blocks.subList(0, CHANGED).stream()
                .map(block -> new ClientBlock(block.cidr(), "region-0"))
                .toList();
        long start = System.nanoTime();
        ClientTable next = table.with(changed, List.of());
        long taken = System.nanoTime() - start;
        if (print) {
            System.out.printf(
                    "delta of %d blocks: %.1f ms, %d bytes as address, length and region (%d blocks after)%n",
                    CHANGED, taken / 1e6, CHANGED * BLOCK_BYTES, next.size());
        }
    }

    private static void measureLookUps(ClientTable table, Fleet fleet, boolean print) {
        LookUp lookUp =
                LookUp.of(table, fleet.configuration, fleet.view(), RegionLatencies.uniform(Duration.ofMillis(20)));
        Random random = new Random(2);
        String[] addresses = new String[4096];
        String[] teams = new String[4096];
        for (int i = 0; i < addresses.length; i++) {
            int third = random.nextInt(Fleet.BLOCKS) << 8;
            addresses[i] = (1 + (third >>> 24)) + "." + (third >>> 16 & 255) + "." + (third >>> 8 & 255) + ".7";
            teams[i] = "team-" + random.nextInt(Fleet.TEAMS);
        }
        long found = 0;
        long start = System.nanoTime();
        for (int i = 0; i < LOOK_UPS; i++) {
            found += lookUp.answer(addresses[i & 4095], teams[i & 4095])
                    .choices()
                    .size();
        }
        print(print, "look-ups", LOOK_UPS, System.nanoTime() - start, found);
    }

    private static void measureDecisions(Fleet fleet, boolean print) {
        Host self = fleet.hosts.get(0);
        SlotTimings terms = new SlotTimings(Duration.ofHours(1), Duration.ofSeconds(5));
        Slots slots = Slots.of(self.name(), 1, true, terms, TimeSource.system());
        Steering steering = Steering.builder(self, slots).build();
        steering.configure(fleet.configuration);
        Roster roster = fleet.roster();
        slots.adopt(roster);
        slots.tick()
                .forEach(ask -> slots.receive(
                        ask.toHost(), new RosterReply(1, 1, ((RosterAsk) ask.message()).sentNanos(), true, false)));
        steering.view(fleet.view());
        Set<Class<?>> kinds = new HashSet<>();
        long placed = 0;
        long start = System.nanoTime();
        for (int i = 0; i < DECISIONS; i++) {
            long deadline = System.nanoTime() + 1_000_000_000L;
            SteeringJob job = new SteeringJob(
                    i, "orders", "team-" + i % Fleet.TEAMS, self.region(), deadline, 500, 2000, "", Set.of(), Set.of());
            Placement placement = steering.place(job);
            kinds.add(placement.getClass());
            if (placement instanceof Placement.Local local) {
                steering.requestEnded(local.target(), TargetResult.ANSWERED, Duration.ofMillis(20));
                placed++;
            } else if (placement instanceof Placement.Remote remote) {
                steering.relayEnded("orders", remote.host(), RelayResult.ENDED);
                placed++;
            }
        }
        print(print, "steering decisions " + kinds, DECISIONS, System.nanoTime() - start, placed);
    }

    private static void print(boolean print, String what, int times, long nanos, long check) {
        if (print) {
            System.out.printf(
                    "%s: %.0f a second, %.0f ns each (%d)%n", what, times * 1e9 / nanos, (double) nanos / times, check);
        }
    }
}
