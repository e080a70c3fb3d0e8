package org.knapweedhatch.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Comparator;
import java.util.Locale;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedhatch.member.MemberState;

/**
 * Measures the cost of membership in one process: messages, bytes and CPU time per host and second, and detection
 * times.
 *
 * <p>Prints one line per number of hosts; the system property {@code membership.hosts} sets other numbers, such as
 * 1000. The bounds are those for the size expected in two years: 17 KB/s and the specified detection times.
 */
class MembershipSlopesTest {

    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration MEASURED_SPAN = Duration.ofSeconds(10);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration MAX_DETECTION_IN_REGION = Duration.ofSeconds(3);
    private static final Duration MAX_DETECTION_ELSEWHERE = Duration.ofSeconds(6);
    private static final Duration MAX_RECOVERY = Duration.ofSeconds(3);
    private static final long CONTROL_BYTES_PER_SECOND = 17_000;

    /** Header bytes of a frame and its acknowledgement, each with TCP timestamps. */
    private static final long HEADER_BYTES = 104;

    private static Stream<Integer> sizes() {
        String sizes = System.getProperty("membership.hosts", "3,9,27,81,243");
        return Stream.of(sizes.split(",")).map(Integer::valueOf);
    }

    @ParameterizedTest
    @MethodSource("sizes")
    void traffic(int hosts) {
        int domains = Math.min(63, hosts < 81 ? Math.min(hosts, 6) : hosts / 4 + 3);
        int regions = hosts < 81 ? 3 : domains * 3 / 7;
        MembershipSimulation simulation = new MembershipSimulation(hosts, domains, regions);
        simulation.run(WARM_UP);
        assertTrue(simulation.allAlive(), "every host sees every host");
        simulation.resetCounters();
        simulation.run(MEASURED_SPAN);
        long meanSent = mean(simulation, node -> node.sentBytes);
        long most = most(simulation, node -> node.sentBytes + node.receivedBytes);
        long frames = most(simulation, node -> node.messages + node.receivedMessages);
        double core = 100.0 * simulation.cpuNanos() / hosts / MEASURED_SPAN.toNanos();
        String line = String.format(
                Locale.ROOT,
                "%5d hosts: sent %d msg/s %d B/s a host; busiest %d B/s both ways, %d with headers; %.3f %% of a core",
                hosts,
                mean(simulation, node -> node.messages),
                meanSent,
                most,
                most + frames * HEADER_BYTES / 2,
                core);
        System.out.println(line + detection(simulation));
        assertTrue(most <= CONTROL_BYTES_PER_SECOND, line);
    }

    private static String detection(MembershipSimulation simulation) {
        MembershipSimulation.Node victim = simulation.all().get(simulation.all().size() - 1);
        String name = victim.host.name();
        String region = victim.host.region();
        boolean hasDomainPeers = simulation.all().stream()
                .anyMatch(n -> n != victim && n.host.domain().equals(victim.host.domain()));
        MemberState expected = hasDomainPeers ? MemberState.SILENT : MemberState.CUT_OFF;
        victim.dead = true;
        Duration near = simulation.runUntil(
                TIMEOUT, () -> simulation.allSee(h -> h.region().equals(region), name, expected));
        Duration far = near.plus(simulation.runUntil(TIMEOUT, () -> simulation.allSee(h -> true, name, expected)));
        simulation.start(victim);
        Duration back = simulation.runUntil(TIMEOUT, simulation::allAlive);
        String line = String.format(
                Locale.ROOT,
                "; dead host seen after %d ms in its region, %d ms elsewhere, back after %d ms",
                near.toMillis(),
                far.toMillis(),
                back.toMillis());
        assertTrue(near.compareTo(MAX_DETECTION_IN_REGION) <= 0 && far.compareTo(MAX_DETECTION_ELSEWHERE) <= 0, line);
        assertTrue(back.compareTo(MAX_RECOVERY) <= 0, line);
        return line;
    }

    private static long mean(MembershipSimulation simulation, ToLongFunction<MembershipSimulation.Node> count) {
        return simulation.all().stream().mapToLong(count).sum()
                / simulation.all().size()
                / MEASURED_SPAN.toSeconds();
    }

    private static long most(MembershipSimulation simulation, ToLongFunction<MembershipSimulation.Node> count) {
        return simulation.all().stream()
                        .max(Comparator.comparingLong(count))
                        .map(count::applyAsLong)
                        .orElseThrow()
                / MEASURED_SPAN.toSeconds();
    }
}
