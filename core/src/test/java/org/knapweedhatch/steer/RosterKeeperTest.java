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

class RosterKeeperTest {

    private static final long INCARNATION = 7;
    private static final Duration ACTIVE_AFTER = Duration.ofSeconds(5);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Host a = host("a", 1);
    private final Host b = host("b", 2);
    private final Host c = host("c", 3);
    private final RosterKeeper keeper = RosterKeeper.of(a, INCARNATION, ACTIVE_AFTER, time);

    @Test
    void firstHostCreatesTheRoster() {
        keeper.absent();
        RosterProposal proposal = keeper.proposal().orElseThrow();
        assertEquals(0, proposal.baseVersion());
        assertEquals(1, proposal.roster().number());
        assertFalse(proposal.roster().entries().get("a").active());
    }

    @Test
    void hostMakesItselfActiveOnceEarlierRequestsAtItsNameHaveEnded() {
        keeper.absent();
        keeper.read(keeper.proposal().orElseThrow().roster(), 1);
        time.advance(ACTIVE_AFTER.minusMillis(1));
        assertTrue(keeper.proposal().isEmpty());
        time.advance(Duration.ofMillis(1));
        assertTrue(keeper.proposal().orElseThrow().roster().entries().get("a").active());
    }

    @Test
    void nothingIsProposedBeforeTheRosterWasRead() {
        assertTrue(keeper.proposal().isEmpty());
    }

    @Test
    void silentHostBecomesInactiveAndIsNotRemoved() {
        readThree();
        see(MemberState.ALIVE, MemberState.SILENT);
        Roster next = later(Duration.ofSeconds(4)).orElseThrow().roster();
        assertFalse(next.entries().get("c").active());
        assertTrue(next.entries().get("b").active());
    }

    @Test
    void hostThatHearsNoMajorityOfItsRegionJudgesNobody() {
        readThree();
        see(MemberState.CUT_OFF, MemberState.CUT_OFF);
        assertTrue(later(Duration.ofMinutes(5)).isEmpty());
    }

    @Test
    void hostIsRemovedOnlyWhenNeitherListedNorHeardForLong() {
        readThree();
        see(MemberState.ALIVE, MemberState.SILENT);
        keeper.listed(List.of(new ListedHost(a, false), new ListedHost(b, false)));
        time.advance(RosterKeeper.GONE_AFTER.minusSeconds(10));
        assertTrue(later(Duration.ofSeconds(4)).orElseThrow().roster().entries().containsKey("c"));
        assertFalse(
                later(Duration.ofSeconds(20)).orElseThrow().roster().entries().containsKey("c"));
    }

    @Test
    void listThatLacksThisHostItselfIsNotBelieved() {
        readThree();
        see(MemberState.ALIVE, MemberState.SILENT);
        keeper.listed(List.of());
        assertTrue(later(RosterKeeper.GONE_AFTER.multipliedBy(2))
                .orElseThrow()
                .roster()
                .entries()
                .containsKey("c"));
    }

    @Test
    void laterProcessAtANameReplacesTheEarlierOne() {
        readThree();
        keeper.view(MembershipView.of(
                "a", List.of(member(a, MemberState.ALIVE, INCARNATION), member(b, MemberState.ALIVE, 99))));
        Roster next = later(Duration.ofSeconds(4)).orElseThrow().roster();
        assertEquals(99, next.entries().get("b").incarnation());
    }

    @Test
    void leavingHostMakesItselfInactiveAtOnce() {
        readThree();
        see(MemberState.ALIVE, MemberState.ALIVE);
        keeper.leave();
        Roster next = keeper.proposal().orElseThrow().roster();
        assertFalse(next.entries().get("a").active());
        keeper.read(next, 9);
        assertTrue(keeper.hasLeft());
    }

    @Test
    void rosterIsReadBackAsWritten() {
        readThree();
        keeper.leave();
        Roster written = keeper.proposal().orElseThrow().roster();
        Roster read = RosterCodec.parse(RosterCodec.format(written)).orThrow();
        assertEquals(written.entries(), read.entries());
        assertEquals(written.number(), read.number());
        assertFalse(RosterCodec.parse(new byte[] {'{'}).isOk());
    }

    private void readThree() {
        List<Roster.Entry> entries = new ArrayList<>();
        for (Host host : List.of(a, b, c)) {
            entries.add(new Roster.Entry(host.name(), host.region(), host.domain(), INCARNATION, true));
        }
        keeper.read(Roster.of(3, 3, entries), 5);
    }

    private void see(MemberState ofB, MemberState ofC) {
        keeper.view(MembershipView.of(
                "a",
                List.of(
                        member(a, MemberState.ALIVE, INCARNATION),
                        member(b, ofB, INCARNATION),
                        member(c, ofC, INCARNATION))));
    }

    private Optional<RosterProposal> later(Duration wait) {
        time.advance(wait);
        keeper.proposal();
        time.advance(Duration.ofSeconds(4));
        return keeper.proposal();
    }

    private static Member member(Host host, MemberState state, long incarnation) {
        return new Member(host, incarnation, state, 1, Load.NONE);
    }

    private static Host host(String name, int number) {
        return new Host(
                name, "lima", "lima-" + name, new Address("127.0.0.1", number), new Address("127.0.0.1", 100 + number));
    }
}
