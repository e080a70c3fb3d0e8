package org.knapweedhatch.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class MembershipPropertyTest {

    private static final Duration STEP = Duration.ofMillis(100);
    private static final int STEPS = 300;
    private static final int CONVERGENCE_STEPS = 80;

    /**
     * Injects random domain cuts, crashes, pauses and restarts. Meanwhile no host may report a running process as dead,
     * whether or not its whole domain is cut off. After the faults end, all views must be correct and equal.
     */
    @Property(tries = 60, seed = "4711")
    void viewsConvergeAndNoHostIsReportedDeadForACutDomain(@ForAll @LongRange(min = 1, max = 1L << 40) long seed) {
        Random random = new Random(seed);
        SimulatedNetwork net = SimulatedNetwork.of(seed, 2 + random.nextInt(2), 2, 2 + random.nextInt(2));
        net.run(Duration.ofSeconds(8));
        List<String> names = new ArrayList<>(net.hosts.keySet());
        Set<String> cutDomains = new HashSet<>();
        Map<String, Integer> lastFaultStep = new HashMap<>();
        net.cut = (from, to) -> !net.domainOf(from).equals(net.domainOf(to))
                && (cutDomains.contains(net.domainOf(from)) || cutDomains.contains(net.domainOf(to)));
        for (int step = 0; step < STEPS; step++) {
            injectFault(net, names, cutDomains, lastFaultStep, random, step);
            net.run(STEP);
            assertNoRunningHostReportedDead(net, names, lastFaultStep, step);
        }
        cutDomains.clear();
        net.paused.clear();
        names.stream().filter(name -> net.at(name) == null).forEach(net::start);
        net.run(STEP.multipliedBy(CONVERGENCE_STEPS));
        names.forEach(name -> assertEquals(Set.of(MemberState.ALIVE), net.statesOf(name), name + " of seed " + seed));
    }

    private static void injectFault(
            SimulatedNetwork net,
            List<String> names,
            Set<String> cutDomains,
            Map<String, Integer> lastFaultStep,
            Random random,
            int step) {
        String name = names.get(random.nextInt(names.size()));
        String domain = net.domainOf(name);
        switch (random.nextInt(40)) {
            case 0 -> cutDomains.add(domain);
            case 1 -> cutDomains.remove(domain);
            case 2 -> {
                net.kill(name);
                lastFaultStep.put(name, step);
            }
            case 3 -> {
                net.paused.remove(name);
                net.start(name);
                lastFaultStep.put(name, step);
            }
            case 4 -> {
                net.paused.add(name);
                lastFaultStep.put(name, step);
            }
            case 5 -> {
                net.paused.remove(name);
                lastFaultStep.put(name, step);
            }
            default -> {}
        }
    }

    /** Asserts that no host reports a process as dead that runs and was long neither killed nor paused. */
    private static void assertNoRunningHostReportedDead(
            SimulatedNetwork net, List<String> names, Map<String, Integer> lastFaultStep, int step) {
        for (String name : names) {
            boolean runs = net.at(name) != null && !net.paused.contains(name);
            if (runs && step - lastFaultStep.getOrDefault(name, -STEPS) > CONVERGENCE_STEPS) {
                for (SimulatedNetwork.Process process : net.processes.values()) {
                    boolean awake = !net.paused.contains(process.host.name())
                            && step - lastFaultStep.getOrDefault(process.host.name(), -STEPS) > CONVERGENCE_STEPS;
                    assertFalse(
                            awake && process.stateOf(name) == MemberState.SILENT,
                            process.host.name() + " reports " + name + " as dead at step " + step);
                }
            }
        }
    }
}
