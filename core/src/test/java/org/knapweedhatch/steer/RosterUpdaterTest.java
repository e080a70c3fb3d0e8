package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

class RosterUpdaterTest {

    private static final long INCARNATION = 7;
    private static final Duration ACTIVE_AFTER = Duration.ofSeconds(5);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Host a = host("a", 1);
    private final Host b = host("b", 2);
    private final Host c = host("c", 3);
    private final RosterUpdater updater = RosterUpdater.of(a, INCARNATION, ACTIVE_AFTER, time);

    @Test
    void firstHostCreatesTheRoster() {
        updater.rosterAbsent();
        RosterProposal proposal = updater.nextProposal().orElseThrow();
        assertEquals(0, proposal.baseVersion());
        assertEquals(1, proposal.roster().number());
        assertFalse(proposal.roster().entries().get("a").active());
    }

    @Test
    void hostMakesItselfActiveOnceEarlierRequestsAtItsNameHaveEnded() {
        updater.rosterAbsent();
        updater.rosterRead(updater.nextProposal().orElseThrow().roster(), 1);
        time.advance(ACTIVE_AFTER.minusMillis(1));
        assertTrue(updater.nextProposal().isEmpty());
        time.advance(Duration.ofMillis(1));
        assertTrue(
                updater.nextProposal().orElseThrow().roster().entries().get("a").active());
    }

    @Test
    void nothingIsProposedBeforeTheRosterWasRead() {
        assertTrue(updater.nextProposal().isEmpty());
    }

    @Test
    void silentHostBecomesInactiveAndIsNotRemoved() {
        readRosterOfThree();
        viewMembers(MemberState.ALIVE, MemberState.SILENT);
        Roster next = proposalAfter(Duration.ofSeconds(4)).orElseThrow().roster();
        assertFalse(next.entries().get("c").active());
        assertTrue(next.entries().get("b").active());
    }

    @Test
    void hostWithoutARegionMajorityDoesNotChangeOthers() {
        readRosterOfThree();
        viewMembers(MemberState.CUT_OFF, MemberState.CUT_OFF);
        assertTrue(proposalAfter(Duration.ofMinutes(5)).isEmpty());
    }

    @Test
    void hostIsRemovedOnlyWhenNeitherListedNorHeardForLong() {
        readRosterOfThree();
        viewMembers(MemberState.ALIVE, MemberState.SILENT);
        updater.hostsListed(List.of(new ListedHost(a, false), new ListedHost(b, false)));
        time.advance(RosterUpdater.GONE_AFTER.minusSeconds(10));
        assertTrue(proposalAfter(Duration.ofSeconds(4))
                .orElseThrow()
                .roster()
                .entries()
                .containsKey("c"));
        assertFalse(proposalAfter(Duration.ofSeconds(20))
                .orElseThrow()
                .roster()
                .entries()
                .containsKey("c"));
    }

    @Test
    void hostListWithoutThisHostIsIgnored() {
        readRosterOfThree();
        viewMembers(MemberState.ALIVE, MemberState.SILENT);
        updater.hostsListed(List.of());
        assertTrue(proposalAfter(RosterUpdater.GONE_AFTER.multipliedBy(2))
                .orElseThrow()
                .roster()
                .entries()
                .containsKey("c"));
    }

    @Test
    void laterProcessAtANameReplacesTheEarlierOne() {
        readRosterOfThree();
        updater.view(MembershipView.of(
                "a", List.of(member(a, MemberState.ALIVE, INCARNATION), member(b, MemberState.ALIVE, 99))));
        Roster next = proposalAfter(Duration.ofSeconds(4)).orElseThrow().roster();
        assertEquals(99, next.entries().get("b").incarnation());
    }

    @Test
    void leavingHostMakesItselfInactiveAtOnce() {
        readRosterOfThree();
        viewMembers(MemberState.ALIVE, MemberState.ALIVE);
        updater.leave();
        Roster next = updater.nextProposal().orElseThrow().roster();
        assertFalse(next.entries().get("a").active());
        updater.rosterRead(next, 9);
        assertTrue(updater.hasLeft());
    }

    @Test
    void rosterSurvivesAnEncodingRoundTrip() {
        readRosterOfThree();
        updater.leave();
        Roster written = updater.nextProposal().orElseThrow().roster();
        Roster read = RosterCodec.parse(RosterCodec.format(written)).orThrow();
        assertEquals(written.entries(), read.entries());
        assertEquals(written.number(), read.number());
        assertFalse(RosterCodec.parse(new byte[] {'{'}).isOk());
    }

    private void readRosterOfThree() {
        List<Roster.Entry> entries = new ArrayList<>();
        for (Host host : List.of(a, b, c)) {
            entries.add(new Roster.Entry(host.name(), host.region(), host.domain(), INCARNATION, true));
        }
        updater.rosterRead(Roster.of(3, 3, entries), 5);
    }

    private void viewMembers(MemberState ofB, MemberState ofC) {
        updater.view(MembershipView.of(
                "a",
                List.of(
                        member(a, MemberState.ALIVE, INCARNATION),
                        member(b, ofB, INCARNATION),
                        member(c, ofC, INCARNATION))));
    }

    private Optional<RosterProposal> proposalAfter(Duration wait) {
        time.advance(wait);
        updater.nextProposal();
        time.advance(Duration.ofSeconds(4));
        return updater.nextProposal();
    }

    private static Member member(Host host, MemberState state, long incarnation) {
        return new Member(host, incarnation, state, 1, Load.NONE);
    }

    private static Host host(String name, int number) {
        return new Host(
                name, "lima", "lima-" + name, new Address("127.0.0.1", number), new Address("127.0.0.1", 100 + number));
    }
}
