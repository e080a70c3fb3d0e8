package org.knapweedhatch.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;

/** Questions and replies between a host and the holder of a team, lost, late and repeated. */
class TokenExchangeTest {

    private static final String TEAM = "crew-1";
    private static final int HOSTS = 20;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<OutgoingMessage> lost = new ArrayList<>();
    private boolean losing;

    /** A host of the one region. */
    private final class Node {
        final String name;
        final TeamHolders holders;
        final TeamShares shares;
        final TeamAdmission admission;

        Node(String name, MembershipView view) {
            this.name = name;
            holders = TeamHolders.of(view, HOSTS, TeamHolders.everyHost());
            shares = TeamShares.of(
                    () -> TeamShareSimulation.TERMS,
                    time,
                    HostReports.of(time),
                    () -> new FleetSize(HOSTS, HOSTS),
                    () -> holders,
                    () -> 0.5);
            shares.configure(List.of(new Team(TEAM, new RateLimit(20, 20))));
            admission = TeamAdmission.of(name, shares, () -> holders, this::send, time);
        }

        private void send(OutgoingMessage message) {
            if (losing) {
                lost.add(message);
            } else {
                nodes.get(message.toHost()).admission.receive(name, message.message());
            }
        }

        long spent() {
            return shares.spentByTeam(Set.of(Hashes.of(TEAM))).values().stream()
                    .mapToLong(count -> count)
                    .sum();
        }
    }

    @BeforeEach
    void start() {
        List<Member> members = IntStream.range(0, HOSTS)
                .mapToObj(i -> {
                    Address address = new Address("10.0.0.1", 1_000 + i);
                    return new Member(
                            new Host("h" + i, "lima", "lima-a", address, address), 1, MemberState.ALIVE, 1, Load.NONE);
                })
                .toList();
        members.forEach(member ->
                nodes.put(member.name(), new Node(member.name(), MembershipView.of(member.name(), members))));
        advance(Duration.ofSeconds(2));
    }

    private void advance(Duration span) {
        for (long millis = 0; millis < span.toMillis(); millis += 100) {
            time.advance(Duration.ofMillis(100));
            nodes.values().forEach(node -> {
                node.shares.tick();
                node.admission.tick();
            });
        }
    }

    private Node holder() {
        return nodes.get(nodes.get("h0").holders.candidates(TEAM).get(0));
    }

    private Node backup() {
        return nodes.get(nodes.get("h0").holders.candidates(TEAM).get(1));
    }

    private Node asker() {
        return nodes.values().stream()
                .filter(node -> !node.holders.isCandidate(TEAM))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void allHostsAgreeOnTheHolder() {
        nodes.values()
                .forEach(node -> assertEquals(
                        holder().name, node.holders.candidates(TEAM).get(0)));
        assertTrue(holder().holders.isHolder(TEAM));
        assertFalse(asker().holders.isHolder(TEAM));
    }

    @Test
    void regionWithAHostThatStartsStillCountsAndHostsThatStartHoldNothing() {
        List<Member> members = IntStream.range(0, HOSTS)
                .mapToObj(i -> {
                    Address address = new Address("10.0.0.1", 1_000 + i);
                    Host host = new Host("h" + i, i % 2 == 0 ? "lima" : "trujillo", "d", address, address);
                    // The number of a remote region is the lowest of its hosts, 0 while one of them starts.
                    boolean starting = i % 2 == 1 || i == 4;
                    return new Member(host, 1, MemberState.ALIVE, starting ? 0 : 1, Load.NONE);
                })
                .toList();
        TeamHolders holders = TeamHolders.of(MembershipView.of("h0", members), HOSTS, TeamHolders.everyHost());
        assertEquals(2, holders.admitters(HOSTS));
        for (int team = 0; team < 50; team++) {
            assertFalse(holders.candidates("team-" + team).contains("h4"));
        }
    }

    @Test
    void tokensComeFromTheHolderAndGoBackToIt() {
        RateDecision decision = asker().admission.acquire(TEAM).join();
        RateDecision.Granted granted = assertInstanceOf(RateDecision.Granted.class, decision);
        assertEquals(holder().name, granted.host());
        assertEquals(1, holder().spent());
        asker().admission.refund(TEAM, granted);
        assertEquals(0, holder().spent());
    }

    @Test
    void tokenOfAnEarlierProcessIsNotTakenBack() {
        int before = ownTokens(holder());
        holder().admission.receive(asker().name, new TokenReturn(TEAM));
        assertEquals(0, holder().spent());
        assertEquals(before, ownTokens(holder()));
    }

    /** Returns how many requests the host admits at once. */
    private static int ownTokens(Node node) {
        int admitted = 0;
        while (node.shares.trySpend(TEAM).isEmpty()) {
            admitted++;
        }
        for (int i = 0; i < admitted; i++) {
            node.shares.refund(TEAM);
        }
        return admitted;
    }

    @Test
    void backupDecidesWhenTheHolderDoesNotReplyAndALateReplyIsIgnored() {
        losing = true;
        CompletableFuture<RateDecision> decision = asker().admission.acquire(TEAM);
        losing = false;
        assertFalse(decision.isDone());
        advance(Duration.ofMillis(300));
        assertEquals(backup().name, ((RateDecision.Granted) decision.join()).host());
        // The question reaches the holder late: its token is lost, and the decision stands.
        OutgoingMessage late = lost.get(0);
        holder().admission.receive(asker().name, late.message());
        assertEquals(backup().name, ((RateDecision.Granted) decision.join()).host());
        assertEquals(1, holder().spent());
        assertEquals(1, backup().spent());
    }

    @Test
    void replyToAnEarlierProcessOfTheHostDecidesNothing() {
        Node asker = asker();
        losing = true;
        asker.admission.acquire(TEAM);
        time.advance(Duration.ofMillis(1));
        TeamAdmission restarted = TeamAdmission.of(asker.name, asker.shares, () -> asker.holders, lost::add, time);
        CompletableFuture<RateDecision> decision = restarted.acquire(TEAM);
        long earlier = ((TokenRequest) lost.get(0).message()).id();
        restarted.receive(holder().name, new TokenReply(earlier, true, Optional.empty()));
        assertFalse(decision.isDone());
    }

    @Test
    void hostThatReachesNeitherDecidesByItsOwnShareSoon() {
        losing = true;
        CompletableFuture<RateDecision> decision = asker().admission.acquire(TEAM);
        advance(Duration.ofMillis(500));
        assertTrue(decision.isDone());
        // Both are suspects now, so the next request does not wait.
        assertTrue(asker().admission.acquire(TEAM).isDone());
    }

    @Test
    void holderThatDoesNotKnowATeamYetAdmitsNothingForIt() {
        holder().shares.configure(List.of());
        Node asker = asker();
        int granted = 0;
        for (int i = 0; i < 200; i++) {
            granted += asker.admission.acquire(TEAM).join() instanceof RateDecision.Granted ? 1 : 0;
        }
        assertTrue(granted <= 40, granted + " of 200 admitted by a host whose part of 20/s is a twentieth");
        assertEquals(granted, asker.spent());
    }

    @Test
    void refusalHoldsForTheNextRequestsForAMoment() {
        Node asker = asker();
        Optional<RateDecision> refused = IntStream.range(0, 200)
                .mapToObj(i -> asker.admission.acquire(TEAM).join())
                .filter(RateDecision.Refused.class::isInstance)
                .findFirst();
        assertTrue(refused.isPresent());
        losing = true;
        assertInstanceOf(
                RateDecision.Refused.class, asker.admission.acquire(TEAM).join());
        assertEquals(List.of(), lost);
        losing = false;
        advance(Duration.ofSeconds(3));
        assertInstanceOf(
                RateDecision.Granted.class, asker.admission.acquire(TEAM).join());
    }
}
