package org.knapweedhatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.limit.Admission;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.peer.Hosts;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;

class FleetNodeTest {

    private static final String SECRET = "a secret of enough bytes";
    private static final LimitId CREWS = LimitId.team("crews");

    private final MemoryPlatform platform = MemoryPlatform.create();
    private final Configuration configuration = Configuration.builder()
            .team(new Team("crews", new RateLimit(1_000, 100)))
            .build(1);
    private final List<FleetNode> started = new ArrayList<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final List<String> ahead = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void stopAll() {
        started.forEach(FleetNode::stop);
    }

    private FleetNode start(Host host, boolean listed, List<Address> seeds) {
        if (listed) {
            platform.addHost(new ListedHost(host, false));
        }
        FleetNode fleet = FleetNode.builder(host, SECRET, platform, TimeSource.system())
                .seeds(seeds)
                .newerConfigurationListener((name, number) -> ahead.add(host.name() + " behind " + name + " " + number))
                .linkRule((from, to) -> !cut.contains(from) && !cut.contains(to))
                .start();
        fleet.configure(configuration);
        started.add(fleet);
        return fleet;
    }

    private static MemberState sees(FleetNode fleet, String name) {
        return fleet.view().member(name).map(Member::state).orElse(null);
    }

    private static boolean admits(FleetNode fleet) {
        return fleet.limiter()
                .map(limits -> limits.admit(CREWS, 1) instanceof Admission.Admitted)
                .orElse(false);
    }

    private List<FleetNode> startThree() {
        for (String name : List.of("lima-a-1", "lima-a-2", "lima-b-1")) {
            start(Hosts.local(name, "lima", name.substring(0, 6)), true, List.of());
        }
        started.forEach(fleet -> Hosts.await("admits", () -> admits(fleet)));
        return started;
    }

    @Test
    void hostsJoinShareLimitsAndTolerateAPlatformOutage() {
        List<FleetNode> three = startThree();
        three.forEach(
                fleet -> Hosts.await("sees three", () -> fleet.view().members().size() == 3));
        platform.setDown(true);
        three.forEach(fleet -> Hosts.await("notices", () -> !fleet.platformReachable()));
        three.forEach(fleet -> Hosts.await("admits without the platform", () -> admits(fleet)));
        platform.setDown(false);
        three.forEach(fleet -> Hosts.await("platform is back", fleet::platformReachable));
        three.get(1).configure(Configuration.builder().build(7));
        Hosts.await("told who is ahead", () -> ahead.contains("lima-a-1 behind lima-a-2 7"));
    }

    @Test
    void sharesOfADeadHostAreTakenOver() {
        List<FleetNode> three = startThree();
        FleetNode survivor = three.get(0);
        Hosts.await("owns", () -> shareOf(survivor, "lima-a-2") > 0);
        cut.add("lima-a-2");
        three.get(1).stop();
        Hosts.await("silent", () -> sees(survivor, "lima-a-2") == MemberState.SILENT);
        Hosts.await("taken over", () -> shareOf(survivor, "lima-a-2") == 0);
    }

    private static double shareOf(FleetNode fleet, String host) {
        return fleet.limiter().orElseThrow().split().share(CREWS, host);
    }

    @Test
    void leavingHostHandsOverItsShares() {
        List<FleetNode> three = startThree();
        FleetNode leaver = three.get(2);
        FleetNode other = three.get(0);
        Hosts.await("owns", () -> shareOf(other, "lima-b-1") > 0);
        leaver.leave();
        Hosts.await("leaving", () -> sees(other, "lima-b-1") == MemberState.LEAVING);
        Hosts.await("handed over", leaver::hasLeft);
        leaver.stop();
        Hosts.await("gone", () -> sees(other, "lima-b-1") == MemberState.SILENT);
    }

    @Test
    void hostsJoinBySeedAddressesAlone() {
        Host first = Hosts.local("lima-a-1", "lima", "lima-a");
        Host second = Hosts.local("trujillo-a-1", "trujillo", "trujillo-a");
        FleetNode one = start(first, false, List.of());
        FleetNode two = start(second, false, List.of(first.peer()));
        Hosts.await("seen", () -> sees(one, "trujillo-a-1") == MemberState.ALIVE);
        Hosts.await("seen", () -> sees(two, "lima-a-1") == MemberState.ALIVE);
    }

    @Test
    void laterProcessWithTheSameNameSupersedesTheEarlierOne() {
        List<FleetNode> three = startThree();
        Host host = Hosts.local("lima-a-2", "lima", "lima-a");
        Address seed = three.get(1).membership().host("lima-a-1").orElseThrow().peer();
        FleetNode later = start(host, false, List.of(seed));
        Hosts.await("superseded", () -> three.get(1).membership().superseded());
        assertTrue(later.membership().incarnation() > three.get(1).membership().incarnation());
        assertEquals(MemberState.SILENT, sees(three.get(1), "lima-a-2"));
    }
}
