package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

class HostDirectoryTest {

    private final List<Member> members = new ArrayList<>();

    private HostDirectoryTest member(String name, String domain, MemberState state, long configuration) {
        Address address = new Address("10.0.0.1", 80);
        Host host = new Host(name, domain.substring(0, domain.indexOf('-')), domain, address, address);
        members.add(new Member(host, 1, state, configuration, Load.NONE));
        return this;
    }

    private List<String> hostNames(String region, String domain) {
        return HostDirectory.of(MembershipView.of("a1", members)).hosts(region, domain).stream()
                .map(Host::name)
                .toList();
    }

    @Test
    void callersUseTheHostsOfTheirDomain() {
        member("a1", "lima-a", MemberState.ALIVE, 1)
                .member("a2", "lima-a", MemberState.ALIVE, 1)
                .member("b1", "lima-b", MemberState.ALIVE, 1);
        assertEquals(List.of("a1", "a2"), hostNames("lima", "lima-a"));
    }

    @Test
    void domainWithOneHostIsSupplementedFromItsRegion() {
        member("a1", "lima-a", MemberState.ALIVE, 1)
                .member("b1", "lima-b", MemberState.ALIVE, 1)
                .member("c1", "cusco-a", MemberState.ALIVE, 1);
        assertEquals(List.of("a1", "b1"), hostNames("lima", "lima-a"));
    }

    @Test
    void regionWithoutHostsUsesAllOthers() {
        member("a1", "lima-a", MemberState.ALIVE, 1).member("c1", "cusco-a", MemberState.ALIVE, 1);
        assertEquals(List.of("a1", "c1"), hostNames("ica", "ica-a"));
    }

    @Test
    void silentLeavingAndUnconfiguredHostsAreNotNamed() {
        member("a1", "lima-a", MemberState.SILENT, 1)
                .member("a2", "lima-a", MemberState.LEAVING, 1)
                .member("a3", "lima-a", MemberState.ALIVE, 0)
                .member("a4", "lima-a", MemberState.ALIVE, 1)
                .member("a5", "lima-a", MemberState.ALIVE, 1);
        assertEquals(List.of("a4", "a5"), hostNames("lima", "lima-a"));
    }
}
