package org.knapweedhatch.soak;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.world.Address;

/** Crowds of clients that come to the hosts of a soak and leave again, several at once. */
final class SoakCrowds {

    private static final int MOST_AT_ONCE = 3;
    private static final int SILENT = 200;
    private static final int HEADS = 60;
    private static final int BODIES = 24;
    private static final int BODY_BYTES = 4 << 20;
    private static final int TRICKLES = 60;
    private static final int TRICKLE_BYTES = 60_000;
    private static final int TRICKLED_BYTES = 200;
    private static final long TRICKLE_PAUSE_MS = 50;
    private static final int PAGE_HEAD_BYTES = 12_000;

    /** What the clients of a crowd do. */
    private enum Habit {
        SILENT_CONNECTIONS {
            @Override
            void come(Crowd crowd, SplittableRandom random) throws IOException {
                crowd.connectSilently(SILENT);
                if (random.nextBoolean()) {
                    crowd.leaveByHalf();
                }
            }
        },
        UNFINISHED_HEADS {
            @Override
            void come(Crowd crowd, SplittableRandom random) {
                crowd.sendUnfinishedHeads(HEADS);
            }
        },
        UNFINISHED_BODIES {
            @Override
            void come(Crowd crowd, SplittableRandom random) {
                crowd.upload(BODIES, BODY_BYTES, 1, random.nextBoolean());
            }
        },
        SLOW_BODIES {
            @Override
            void come(Crowd crowd, SplittableRandom random) {
                crowd.trickle(TRICKLES, TRICKLE_BYTES, TRICKLED_BYTES, TRICKLE_PAUSE_MS);
            }
        },
        UNFINISHED_PAGES {
            @Override
            void come(Crowd crowd, SplittableRandom random) {
                crowd.sendUnfinishedHeads(HEADS, "X-Long: " + "a".repeat(PAGE_HEAD_BYTES));
            }

            @Override
            Address address(HostProcess.Addresses addresses, SplittableRandom random) {
                return List.of(addresses.ready(), addresses.directory(), addresses.metrics(), addresses.peer())
                        .get(random.nextInt(4));
            }
        };

        abstract void come(Crowd crowd, SplittableRandom random) throws IOException;

        Address address(HostProcess.Addresses addresses, SplittableRandom random) {
            return addresses.edge();
        }
    }

    private final List<HostProcess> hosts;
    private final HeaderScheme scheme;
    private final SplittableRandom random;
    private final BooleanSupplier goesOn;

    SoakCrowds(List<HostProcess> hosts, HeaderScheme scheme, SplittableRandom random, BooleanSupplier goesOn) {
        this.hosts = hosts;
        this.scheme = scheme;
        this.random = random;
        this.goesOn = goesOn;
    }

    void run() {
        Deque<Crowd> present = new ArrayDeque<>();
        try {
            while (goesOn.getAsBoolean()) {
                HostProcess.Addresses addresses =
                        hosts.get(random.nextInt(hosts.size())).addresses();
                Habit habit = Habit.values()[random.nextInt(Habit.values().length)];
                // A key that no configuration has is refused by the head.
                String key = random.nextInt(4) == 0 ? "unknown-key" : ExampleEntries.KEY;
                Crowd crowd = new Crowd(habit.address(addresses, random), Crowd.Heads.of(scheme, key));
                present.addLast(crowd);
                habit.come(crowd, random.split());
                Threads.sleep(random.nextLong(200, 2_000));
                if (present.size() >= MOST_AT_ONCE) {
                    present.removeFirst().close();
                }
            }
            for (Crowd crowd : present) {
                crowd.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
