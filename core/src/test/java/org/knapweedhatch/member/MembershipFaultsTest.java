package org.knapweedhatch.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.world.Host;

class MembershipFaultsTest {

    private static final Set<MemberState> ALIVE = Set.of(MemberState.ALIVE);
    private static final Set<MemberState> SILENT = Set.of(MemberState.SILENT);

    private SimulatedNetwork net;

    @BeforeEach
    void startThreeRegions() {
        net = SimulatedNetwork.of(11, 3, 2, 3);
        net.run(Duration.ofSeconds(8));
    }

    private void assertAllHostsAlive() {
        net.hosts.keySet().forEach(name -> assertEquals(ALIVE, net.statesOf(name), name));
    }

    @Test
    void oneWayCutIsBridgedByPeers() {
        net.cut = (from, to) -> from.equals("r0a-0") && to.equals("r0b-1");
        for (int i = 0; i < 100; i++) {
            net.run(Duration.ofMillis(100));
            assertEquals(MemberState.ALIVE, net.at("r0b-1").stateOf("r0a-0"));
        }
        assertFalse(net.at("r0b-1").membership.hearsDirectly("r0a-0"));
        assertTrue(net.at("r0a-0").membership.hearsDirectly("r0b-1"));
    }

    @Test
    void domainsOfARegionCutFromEachOtherStayKnownThroughAnotherRegion() {
        net.cut = (from, to) -> from.startsWith("r0")
                && to.startsWith("r0")
                && !net.domainOf(from).equals(net.domainOf(to));
        net.run(Duration.ofSeconds(20));
        assertEquals(ALIVE, net.statesInRegion("r1", "r0a-0"));
        assertEquals(ALIVE, net.statesInRegion("r1", "r0b-0"));
        for (int i = 0; i < 50; i++) {
            net.run(Duration.ofMillis(100));
            assertFalse(net.statesInRegion("r0", "r0a-0").contains(MemberState.SILENT));
        }
        net.cut = (from, to) -> false;
        net.run(Duration.ofSeconds(3));
        assertAllHostsAlive();
    }

    @Test
    void pausedHostIsSilentUntilItResumesAndReportsNoOtherHost() {
        net.paused.add("r1b-2");
        net.run(Duration.ofSeconds(40));
        assertEquals(SILENT, net.statesOf("r1b-2"));
        net.paused.clear();
        SimulatedNetwork.Process resumed = net.at("r1b-2");
        resumed.events.clear();
        net.run(Duration.ofSeconds(3));
        assertAllHostsAlive();
        assertEquals(List.of(), resumed.events);
    }

    @Test
    void eachHostDyingInTurnLeavesTheDigestsWorking() {
        for (String name : List.copyOf(net.hosts.keySet())) {
            net.kill(name);
            net.run(Duration.ofSeconds(6));
            assertEquals(SILENT, net.statesOf(name), () -> name + " seen by " + net.statesByObserver(name));
            for (String other : net.hosts.keySet()) {
                assertTrue(other.equals(name) || net.statesOf(other).equals(ALIVE), other + " after " + name);
            }
            net.start(name);
            net.run(Duration.ofSeconds(4));
            assertEquals(ALIVE, net.statesOf(name), name);
        }
    }

    @Test
    void replacedHostIsSilentAndItsReplacementAlive() {
        net.kill("r2a-0");
        net.add("r2", "r2a", 9, true);
        net.run(Duration.ofSeconds(6));
        assertEquals(SILENT, net.statesOf("r2a-0"));
        assertEquals(ALIVE, net.statesOf("r2a-9"));
    }

    @Test
    void emptyAndWrongHostListsDoNotAffectKnownHosts() {
        net.processes.values().forEach(p -> p.membership.updateHostList(List.of()));
        net.run(Duration.ofSeconds(10));
        assertAllHostsAlive();
        Host ghost = new Host(
                "ghost",
                "r0",
                "r0a",
                net.hosts.get("r0a-0").edge(),
                net.hosts.get("r0a-0").peer());
        net.processes.values().forEach(p -> p.membership.updateHostList(List.of(new ListedHost(ghost, false))));
        net.run(Duration.ofSeconds(20));
        assertAllHostsAlive();
        assertNull(net.at("r0a-1").stateOf("ghost"));
    }

    @Test
    void unlistedNewHostFindsAllHostsThroughOneSeed() {
        net.listed = List.of();
        net.kill("r0b-2");
        net.run(Duration.ofSeconds(6));
        net.start("r0b-2", List.of(net.hosts.get("r0a-1")), Duration.ZERO);
        net.run(Duration.ofSeconds(6));
        assertAllHostsAlive();
    }

    @Test
    void partitionedRegionIsCutOffElsewhereAndAliveAfterHealing() {
        net.cut = (from, to) -> from.startsWith("r2") != to.startsWith("r2");
        net.run(Duration.ofSeconds(7));
        assertEquals(Set.of(MemberState.CUT_OFF), net.statesInRegion("r0", "r2a-0"));
        assertEquals(Set.of(MemberState.CUT_OFF), net.statesInRegion("r2", "r0a-0"));
        assertEquals(ALIVE, net.statesInRegion("r2", "r2b-1"));
        net.run(Duration.ofMinutes(60));
        net.cut = (from, to) -> false;
        net.run(Duration.ofSeconds(3));
        assertAllHostsAlive();
    }

    @Test
    void hostThatDiesWhileItsRegionIsCutIsSilentOnceTheRegionIsBack() {
        net.cut = (from, to) -> from.startsWith("r2") != to.startsWith("r2");
        net.run(Duration.ofSeconds(10));
        net.kill("r2a-1");
        net.run(Duration.ofSeconds(10));
        assertEquals(Set.of(MemberState.CUT_OFF), net.statesInRegion("r0", "r2a-1"));
        net.cut = (from, to) -> false;
        net.run(Duration.ofSeconds(3));
        assertEquals(SILENT, net.statesOf("r2a-1"));
    }

    @Test
    void processRestartedInAPartitionWithAnEarlierClockIsSupersededOrGetsAHigherIncarnation() {
        net.cut = (from, to) -> from.equals("r1a-0") != to.equals("r1a-0");
        net.run(Duration.ofSeconds(10));
        long old = net.at("r1a-0").membership.incarnation();
        SimulatedNetwork.Process later = net.start("r1a-0", List.of(), Duration.ofDays(-1));
        net.run(Duration.ofSeconds(10));
        assertTrue(later.membership.joined());
        net.cut = (from, to) -> false;
        net.run(Duration.ofSeconds(3));
        assertTrue(later.membership.superseded() || later.membership.incarnation() > old);
        SimulatedNetwork.Process last = net.start("r1a-0", List.of(), Duration.ofDays(-1));
        net.run(Duration.ofSeconds(5));
        assertTrue(last.membership.incarnation() > old);
        assertEquals(ALIVE, net.statesOf("r1a-0"));
    }

    @Test
    void allHostsAreAliveAfterARollingRestart() {
        for (String name : List.copyOf(net.hosts.keySet())) {
            net.at(name).membership.leave();
            net.run(Duration.ofSeconds(2));
            net.send(name, net.at(name).membership.goodbye());
            net.kill(name);
            net.start(name);
            net.run(Duration.ofSeconds(4));
        }
        assertAllHostsAlive();
    }
}
