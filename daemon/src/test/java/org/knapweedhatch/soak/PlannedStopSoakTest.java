package org.knapweedhatch.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.platform.wire.PlatformHeaders;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.world.Address;

/**
 * Hosts as real processes that are stopped, told to reload, killed and started again, also several at once, while
 * callers keep their connections, crowds of other clients come and go, the store fails and the configuration changes.
 *
 * <p>{@code -Dsoak.seeds=1-50} plays other seeds, {@code -Dsoak.hosts=40} more hosts, {@code -Dsoak.seconds=60} longer,
 * {@code -Dsoak.routes=2000} gives every second configuration so many routes more.
 */
class PlannedStopSoakTest {

    private static final Duration GRACE = Duration.ofSeconds(6);

    /** Requests sent later than this after SIGTERM must be answered whatever their target does. */
    private static final Duration EXCUSED_UNTIL_SENT = GRACE.dividedBy(2);

    /** A target that is still at work from here on excuses a cut. */
    private static final Duration LAST_SIXTH = GRACE.multipliedBy(5).dividedBy(6);

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration ONCE_TIMEOUT = Duration.ofSeconds(3);
    /** Seeds that once failed, with the cause. */
    private static final Map<Long, String> REGRESSIONS = Map.of(
            4L, "a look-up sent more than 3 s after SIGTERM went to a target and was cut",
            8L, "hosts outlasted their grace period: the goodbye and the exit of the JVM took more than the margin",
            15L, "hosts outlasted their grace period: the stop waited for clients without a request");

    /** Time in which a configuration has to be in force on all hosts, once the store answers. */
    private static final Duration CONFIGURATION_LIMIT = Duration.ofSeconds(4);

    private static final int SLOTS = 5;
    private static final int HOSTS_PER_CROWD_SERIES = 4;

    /** Memory of the smallest machine of a deployment, in megabytes. */
    private static final int MAX_RESIDENT_MB = 282;

    /** Limit of descriptors in the settings of the hosts. */
    private static final int MAX_DESCRIPTORS = 4_096;

    private static final int[] NOT_RUN = {408, 421, 429, 503};

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path folder;

    private final Map<String, CallerAttempt> attempts = new ConcurrentHashMap<>();
    private final List<String> broken = new CopyOnWriteArrayList<>();
    private final AtomicBoolean calls = new AtomicBoolean(true);
    private final HeaderScheme scheme = PlatformHeaders.scheme();
    private final int hostCount = Integer.getInteger("soak.hosts", 4);
    private final Duration length = Duration.ofSeconds(Integer.getInteger("soak.seconds", 25));
    private final int routes = Integer.getInteger("soak.routes", 0);
    private final List<HostProcess> hosts = new ArrayList<>();
    private long configurations;
    private long stored;

    /** Returns the seeds of {@code -Dsoak.seeds}, such as {@code 1-50}; without it those of {@link #REGRESSIONS}. */
    static LongStream seeds() {
        String range = System.getProperty("soak.seeds", "");
        if (range.isEmpty()) {
            return REGRESSIONS.keySet().stream().mapToLong(Long::longValue);
        }
        String[] ends = range.split("-");
        return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void requestsAreAnsweredAndRunOnceWhileHostsAreStoppedInTurn(long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        MemoryPlatform platform = MemoryPlatform.create();
        List<WorkingTarget> targets = new ArrayList<>();
        try (PlatformStandIn store = PlatformStandIn.start("127.0.0.1", 0, "", platform)) {
            configure(platform);
            for (int i = 0; i < 4 * hostCount; i++) {
                WorkingTarget target = new WorkingTarget("i-" + i, SLOTS, scheme, attempts);
                targets.add(target);
                StoredObject entry = ExampleEntries.target(target.name(), 1, target.address(), "lima-a");
                platform.create(entry.name(), entry.body());
            }
            Address address = new Address(store.uri().getHost(), store.uri().getPort());
            List<String> names =
                    IntStream.range(0, hostCount).mapToObj(i -> "host-" + i).toList();
            hosts.addAll(HostProcess.create(folder, names, address, GRACE));
            for (HostProcess host : hosts) {
                host.deployedMemory().start();
            }
            hosts.forEach(HostProcess::awaitReady);
            List<Thread> callers = startCallers(random);
            // A generator of its own keeps the schedule of the stops for each seed.
            SplittableRandom others = new SplittableRandom(~seed);
            for (int i = 0; i < hostCount; i += HOSTS_PER_CROWD_SERIES) {
                SoakCrowds crowds = new SoakCrowds(hosts, scheme, others.split(), calls::get);
                callers.add(Threads.start("crowds", crowds::run));
            }
            SplittableRandom faults = others.split();
            callers.add(Threads.start("store-faults", () -> disturbStore(faults, platform)));
            disturb(random, platform);
            calls.set(false);
            for (Thread caller : callers) {
                join(caller);
            }
            checkRuns();
            checkHosts();
            awaitConfiguration();
            assertEquals(List.of(), broken, describe(seed));
            assertTrue(
                    attempts.values().stream().anyMatch(request -> request.status() == 200), "no request was answered");
        } finally {
            hosts.forEach(HostProcess::kill);
            for (WorkingTarget target : targets) {
                target.close();
            }
        }
    }

    private String describe(long seed) {
        String cause = REGRESSIONS.getOrDefault(seed, "none");
        return "seed " + seed + "; earlier cause: " + cause + "; logs of the hosts: " + folder;
    }

    private void configure(MemoryPlatform platform) {
        configurations++;
        StoredObject next = ExampleEntries.withRoutes(
                ExampleEntries.configuration(configurations, 1, LONG_TIMEOUT, ONCE_TIMEOUT),
                configurations % 2 == 0 ? routes : 0);
        if (configurations == 1) {
            platform.create(next.name(), next.body());
            stored = configurations;
        } else {
            Result<StoredObject> last = platform.read(next.name());
            // The operator cannot write either while the store is down.
            if (last.isOk()
                    && platform.update(next.name(), next.body(), last.orThrow().version())
                            .isOk()) {
                stored = configurations;
            }
        }
    }

    private List<Thread> startCallers(SplittableRandom random) {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 5 * hostCount; i++) {
            for (SoakCaller.Habit habit : SoakCaller.Habit.values()) {
                SoakCaller caller = new SoakCaller(
                        habit,
                        random.split(),
                        hosts,
                        attempts,
                        scheme,
                        habit == SoakCaller.Habit.LONG || habit == SoakCaller.Habit.PIPELINED
                                ? LONG_TIMEOUT
                                : ONCE_TIMEOUT,
                        calls::get);
                callers.add(Threads.start("caller", caller::run));
            }
        }
        return callers;
    }

    /** Plays troubles one after the other; each leaves one host alone at least, and stopped hosts come back. */
    private void disturb(SplittableRandom random, MemoryPlatform platform) {
        long end = System.nanoTime() + length.toNanos();
        List<Thread> stops = new ArrayList<>();
        while (System.nanoTime() < end) {
            switch (random.nextInt(8)) {
                case 0 -> configure(platform);
                case 1 -> anyHost(random).reload();
                case 2 -> stopAndStart(random, stops, true);
                default -> stopAndStart(random, stops, false);
            }
            Threads.sleep(random.nextLong(200, 2_500));
        }
        stops.forEach(PlannedStopSoakTest::join);
    }

    /** Lets the store fail now and then, in one way or in several at once. */
    private void disturbStore(SplittableRandom random, MemoryPlatform platform) {
        while (calls.get()) {
            Threads.sleep(random.nextLong(500, 4_000));
            int ways = random.nextInt(1, 8);
            if ((ways & 1) != 0) {
                platform.setDown(true);
            }
            if ((ways & 2) != 0) {
                platform.setDelay(Duration.ofMillis(random.nextLong(50, 800)));
            }
            if ((ways & 4) != 0) {
                platform.loseResponses(random.nextInt(1, 4));
            }
            Threads.sleep(random.nextLong(200, 3_000));
            platform.setDown(false);
            platform.setDelay(Duration.ZERO);
            platform.loseResponses(0);
        }
    }

    /** Checks that every host still runs, inside the bounds of memory and descriptors. */
    private void checkHosts() throws IOException {
        for (HostProcess host : hosts) {
            if (!host.isAlive()) {
                broken.add(host.name() + " ended by itself with " + host.exitValue());
            } else if (host.residentPeakMb() > MAX_RESIDENT_MB || host.openDescriptors() > MAX_DESCRIPTORS) {
                broken.add(host.name() + " has had " + host.residentPeakMb() + " MB and has " + host.openDescriptors()
                        + " descriptors");
            }
        }
    }

    /** Checks that every host has the last configuration in force in time. */
    private void awaitConfiguration() {
        long end = System.nanoTime() + CONFIGURATION_LIMIT.toNanos();
        List<String> behind = List.of();
        do {
            Threads.sleep(100);
            behind = hosts.stream()
                    .filter(host -> host.isAlive() && host.gauge("configuration") < stored)
                    .map(HostProcess::name)
                    .toList();
        } while (!behind.isEmpty() && System.nanoTime() < end);
        behind.forEach(host -> broken.add(host + " does not have configuration " + stored + " in force"));
    }

    private HostProcess anyHost(SplittableRandom random) {
        return hosts.get(random.nextInt(hosts.size()));
    }

    private void stopAndStart(SplittableRandom random, List<Thread> stops, boolean kills) {
        HostProcess host = anyHost(random);
        long running = hosts.stream()
                .filter(other -> other.isAlive() && other.stopNanos() == 0)
                .count();
        if (running <= 1 || !host.isAlive() || host.stopNanos() != 0 || !host.isReady()) {
            return;
        }
        SplittableRandom own = random.split();
        if (kills && own.nextInt(3) == 0) {
            host.kill();
        } else {
            host.stop();
        }
        stops.add(Threads.start("stop", () -> endAndStart(host, own)));
    }

    private void endAndStart(HostProcess host, SplittableRandom random) {
        long stop = host.stopNanos();
        if (stop != 0 && random.nextInt(3) == 0) {
            Threads.sleep(random.nextLong(100, 2_000));
            host.stop();
            host.reload();
        }
        if (!host.awaitEnd(GRACE)) {
            broken.add(host.name() + " still runs after its grace period");
            host.kill();
        } else if (stop != 0 && host.exitValue() != 0) {
            broken.add(host.name() + " ended with " + host.exitValue());
        }
        if (stop != 0) {
            // The callers see the end of their connections a little after the process is gone.
            Threads.sleep(100);
            checkStop(host, stop);
        }
        try {
            host.start();
            host.awaitReady();
        } catch (IOException e) {
            broken.add(host.name() + " does not start: " + e.getMessage());
        }
    }

    /** Checks the requests at the process that was stopped; those of the one before it may have ended with a kill. */
    private void checkStop(HostProcess host, long stop) {
        attempts.values().stream()
                .filter(request -> request.host().equals(host.name()) && request.sentNanos() > host.startNanos())
                .filter(request -> request.isLost() && !request.isTimedOut())
                .filter(request -> request.sentNanos() > stop + EXCUSED_UNTIL_SENT.toNanos()
                        || !request.ranBetween(stop + LAST_SIXTH.toNanos(), stop + GRACE.toNanos()))
                .forEach(request -> broken.add("lost: " + request.describe(stop)));
    }

    private void checkRuns() {
        Set<Integer> notRun = Set.copyOf(Arrays.stream(NOT_RUN).boxed().toList());
        for (CallerAttempt request : attempts.values()) {
            if (!request.mayRepeat() && request.runs() > 1) {
                broken.add("ran twice: " + request.describe(request.sentNanos()));
            }
            if (!request.mayRepeat() && request.runs() > 0 && notRun.contains(request.status())) {
                broken.add("refused and run: " + request.describe(request.sentNanos()));
            }
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
