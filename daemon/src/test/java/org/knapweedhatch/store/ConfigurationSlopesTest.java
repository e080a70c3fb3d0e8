package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * How the time until a configuration is in force and the bytes that it costs grow with its size and with the hosts of a
 * failure domain, on links of 8.4 Mbit/s.
 *
 * <p>Prints one line per pair; the system properties {@code configuration.hosts} and {@code configuration.routes} set
 * other numbers, such as {@code 4,11,16}.
 */
class ConfigurationSlopesTest {

    private static final double MEGABITS_PER_SECOND = 8.4;
    private static final Duration SPAN = Duration.ofSeconds(30);

    /** Time in which a change has to be in force on all hosts. */
    private static final Duration LIMIT = Duration.ofSeconds(10);

    static Stream<Arguments> sizes() {
        return numbers("configuration.hosts", "4,16")
                .flatMap(hosts ->
                        numbers("configuration.routes", "500,4000").map(routes -> Arguments.of(hosts, routes)));
    }

    private static Stream<Integer> numbers(String property, String standard) {
        return Arrays.stream(System.getProperty(property, standard).split(",")).map(Integer::valueOf);
    }

    @ParameterizedTest
    @MethodSource("sizes")
    void changesAreInForceOnAllHostsInTime(int hosts, int routes) {
        DomainSimulation domain =
                new DomainSimulation(hosts, MEGABITS_PER_SECOND, DomainSimulation.configuration(1, 1, 60, 3_000));
        long idleFrom = domain.mostSentBytes();
        domain.idle(SPAN);
        long idle = domain.mostSentBytes() - idleFrom;
        String added = measure(domain, hosts, 5, routes, 3_000, idle);
        String changed = measure(domain, hosts, 9, routes, 2_000, idle);
        int bytes = DomainSimulation.configuration(5, 5, routes, 3_000).body().length;
        System.out.printf(
                "configuration slopes: %d hosts, %d routes, %d bytes; routes added %s; one field changed %s%n",
                hosts, routes, bytes, added, changed);
        domain.close();
    }

    private static String measure(DomainSimulation domain, int hosts, int number, int routes, int timeout, long idle) {
        long before = domain.mostSentBytes();
        domain.write(number, DomainSimulation.configuration(number, number * 10, routes, timeout), SPAN);
        long sent = domain.mostSentBytes() - before - idle;
        List<Duration> times = domain.timesInForce().values().stream().sorted().toList();
        assertTrue(times.size() == hosts, "hosts with the configuration in force: " + times);
        Duration last = times.get(times.size() - 1);
        assertTrue(last.compareTo(LIMIT) <= 0, "in force after " + times);
        return "%d to %d ms, busiest host sends %d bytes more, heartbeats take up to %d ms"
                .formatted(
                        times.get(0).toMillis(),
                        last.toMillis(),
                        sent,
                        domain.longestHeartbeat().toMillis());
    }
}
