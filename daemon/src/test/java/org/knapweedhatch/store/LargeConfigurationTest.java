package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.platform.StoredObject;

/** A large configuration reaches all hosts of a failure domain in time, over the link of a small host. */
class LargeConfigurationTest {

    private static final int HOSTS = 11;
    private static final double MEGABITS_PER_SECOND = 8.4;
    private static final int ROUTES_BEFORE = 60;
    private static final int ROUTES = 2_040;

    /** Time after its acknowledgement in which a configuration has to be in force. */
    private static final Duration LIMIT = Duration.ofSeconds(4);

    private final DomainSimulation domain = new DomainSimulation(
            HOSTS, MEGABITS_PER_SECOND, DomainSimulation.configuration(1, 1, ROUTES_BEFORE, 3_000));

    @AfterEach
    void close() {
        domain.close();
    }

    private void assertInForceInTime() {
        Map<String, Duration> times = domain.timesInForce();
        assertEquals(HOSTS, times.size(), "hosts with the configuration in force: " + times);
        times.forEach((host, took) -> assertTrue(took.compareTo(LIMIT) <= 0, host + " after " + took + ": " + times));
    }

    @Test
    void manyRoutesMoreAreInForceOnAllHostsInTime() {
        domain.write(5, DomainSimulation.configuration(5, 50, ROUTES, 3_000), Duration.ofSeconds(20));
        assertInForceInTime();
    }

    @Test
    void oneFieldOfALargeConfigurationChangesInTimeAndCostsWhatItChanges() {
        domain.write(5, DomainSimulation.configuration(5, 50, ROUTES, 3_000), Duration.ofSeconds(20));
        StoredObject changed = DomainSimulation.configuration(9, 90, ROUTES, 2_000);
        long beforeChange = domain.sentBytes();
        domain.write(9, changed, Duration.ofSeconds(20));
        assertInForceInTime();
        long forChange = domain.sentBytes() - beforeChange;
        long beforeNothing = domain.sentBytes();
        domain.idle(Duration.ofSeconds(20));
        long forNothing = domain.sentBytes() - beforeNothing;
        assertTrue(
                forChange - forNothing < changed.body().length,
                "bytes for one field, to all hosts: " + (forChange - forNothing));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changesInQuickSuccessionReachAllHostsWhateverIsLost(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DomainSimulation lossy = new DomainSimulation(
                HOSTS, MEGABITS_PER_SECOND, DomainSimulation.configuration(1, 1, ROUTES_BEFORE, 3_000), seed);
        lossy.loss(0.2);
        StoredObject last = null;
        for (int number = 2; number < 30; number++) {
            int routes = random.nextInt(3) == 0 ? ROUTES_BEFORE + random.nextInt(ROUTES) : ROUTES;
            last = DomainSimulation.configuration(number, number * 10, routes, 1_000 + random.nextInt(2_000));
            lossy.write(number, last, Duration.ofMillis(random.nextInt(1_500)));
        }
        lossy.loss(0);
        lossy.idle(Duration.ofSeconds(15));
        assertEquals(List.of(), lossy.hostsWithout(last), "seed " + seed);
        lossy.close();
    }

    /** A host whose heartbeats wait behind a configuration is taken for dead. */
    @Test
    void heartbeatsDoNotWaitBehindALargeConfiguration() {
        domain.write(5, DomainSimulation.configuration(5, 50, ROUTES, 3_000), Duration.ofSeconds(20));
        assertTrue(
                domain.longestHeartbeat().compareTo(Duration.ofSeconds(1)) < 0,
                "longest heartbeat: " + domain.longestHeartbeat());
    }
}
