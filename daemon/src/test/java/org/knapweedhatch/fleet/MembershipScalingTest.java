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
 * Measures membership in one process: messages, bytes and processor time per host and second, and detection times.
 *
 * <p>Prints one line per size; the property {@code membership.hosts} sets other sizes, such as 1000. The bounds are
 * those of the two-year size: 17 KB/s and the stated detection times.
 */
class MembershipScalingTest {

    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration MEASURED_SPAN = Duration.ofSeconds(10);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration MAX_DETECTION_IN_REGION = Duration.ofSeconds(3);
    private static final Duration MAX_DETECTION_ELSEWHERE = Duration.ofSeconds(6);
    private static final Duration MAX_RECOVERY = Duration.ofSeconds(3);
    private static final long CONTROL_BYTES_PER_SECOND = 17_000;

    /** Header bytes of one frame and of its acknowledgement, each with TCP timestamps. */
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
        MembershipSimulation swarm = new MembershipSimulation(hosts, domains, regions);
        swarm.run(WARM_UP);
        assertTrue(swarm.allAlive(), "every host sees every host");
        swarm.resetCounters();
        swarm.run(MEASURED_SPAN);
        long meanSent = mean(swarm, node -> node.sentBytes);
        long most = most(swarm, node -> node.sentBytes + node.receivedBytes);
        long frames = most(swarm, node -> node.messages + node.receivedMessages);
        double core = 100.0 * swarm.cpuNanos() / hosts / MEASURED_SPAN.toNanos();
        String line = String.format(
                Locale.ROOT,
                "%5d hosts: sent %d msg/s %d B/s a host; busiest %d B/s both ways, %d with headers; %.3f %% of a core",
                hosts,
                mean(swarm, node -> node.messages),
                meanSent,
                most,
                most + frames * HEADER_BYTES / 2,
                core);
        System.out.println(line + detection(swarm));
        assertTrue(most <= CONTROL_BYTES_PER_SECOND, line);
    }

    private static String detection(MembershipSimulation swarm) {
        MembershipSimulation.Node victim = swarm.all().get(swarm.all().size() - 1);
        String name = victim.host.name();
        String region = victim.host.region();
        boolean hasMates = swarm.all().stream()
                .anyMatch(n -> n != victim && n.host.domain().equals(victim.host.domain()));
        MemberState expected = hasMates ? MemberState.SILENT : MemberState.CUT_OFF;
        victim.dead = true;
        Duration near =
                swarm.runUntil(TIMEOUT, () -> swarm.allSee(h -> h.region().equals(region), name, expected));
        Duration far = near.plus(swarm.runUntil(TIMEOUT, () -> swarm.allSee(h -> true, name, expected)));
        swarm.start(victim);
        Duration back = swarm.runUntil(TIMEOUT, swarm::allAlive);
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

    private static long mean(MembershipSimulation swarm, ToLongFunction<MembershipSimulation.Node> count) {
        return swarm.all().stream().mapToLong(count).sum() / swarm.all().size() / MEASURED_SPAN.toSeconds();
    }

    private static long most(MembershipSimulation swarm, ToLongFunction<MembershipSimulation.Node> count) {
        return swarm.all().stream()
                        .max(Comparator.comparingLong(count))
                        .map(count::applyAsLong)
                        .orElseThrow()
                / MEASURED_SPAN.toSeconds();
    }
}
