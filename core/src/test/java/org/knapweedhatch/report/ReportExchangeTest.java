package org.knapweedhatch.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.helper.Hashes;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** Every host learns the load of every other, with few messages, also while the collector of a domain is dead. */
class ReportExchangeTest {

    private static final int DOMAINS = 9;
    private static final int TARGET = Hashes.of("t-1");

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Set<String> dead = new HashSet<>();
    private final Map<String, Integer> sent = new HashMap<>();

    /** A host with one request in progress. */
    private final class Node {
        final String name;
        final HostReports reports = HostReports.of(time);
        final ReportExchange exchange;
        long sequence;

        Node(String name) {
            this.name = name;
            exchange = ReportExchange.of(name, reports, () -> 1, this::send, time);
        }

        private void send(Collection<String> hosts, PeerMessage message) {
            for (String host : hosts) {
                sent.merge(name, 1, Integer::sum);
                if (!dead.contains(host)) {
                    nodes.get(host).exchange.receive(name, 1, message);
                }
            }
        }

        HostReport report() {
            return new HostReport(++sequence, Map.of(TARGET, 1), Map.of(), Map.of(), Map.of(), List.of());
        }
    }

    private void start(int hosts) {
        IntStream.range(0, hosts).forEach(i -> nodes.put("h" + i, new Node("h" + i)));
        updateViews();
    }

    private void updateViews() {
        List<Member> members = nodes.keySet().stream()
                .filter(name -> !dead.contains(name))
                .map(name -> {
                    int number = Integer.parseInt(name.substring(1));
                    Address address = new Address("10.0.0.1", 1_000 + number);
                    Host host = new Host(name, "r" + number % 3, "d" + number % DOMAINS, address, address);
                    return new Member(host, 1, MemberState.ALIVE, 1, Load.NONE);
                })
                .toList();
        nodes.values().forEach(node -> node.exchange.update(MembershipView.of(node.name, members), nodes.size()));
    }

    private void advance(Duration span) {
        for (long millis = 0; millis < span.toMillis(); millis += 100) {
            time.advance(Duration.ofMillis(100));
            nodes.values().stream()
                    .filter(node -> !dead.contains(node.name))
                    .forEach(node -> node.exchange.tick(node::report));
            nodes.values().forEach(node -> node.reports.tick());
        }
    }

    private void assertAllHeard() {
        int alive = nodes.size() - dead.size();
        nodes.values().stream()
                .filter(node -> !dead.contains(node.name))
                .forEach(node -> assertEquals(alive - 1, node.reports.inFlightOf(TARGET), "at " + node.name));
    }

    @Test
    void hostsOfASmallFleetReportToEachOther() {
        start(9);
        advance(Duration.ofSeconds(2));
        assertAllHeard();
    }

    @Test
    void hostsOfALargeFleetHearAllOthersWithFewMessages() {
        start(95);
        advance(Duration.ofSeconds(4));
        assertAllHeard();
        sent.clear();
        advance(Duration.ofSeconds(10));
        // A collector sends to 8 others and 10 mates twice a second; each other host to its collector only.
        int most = sent.values().stream().mapToInt(count -> count).max().orElseThrow();
        int all = sent.values().stream().mapToInt(count -> count).sum();
        assertTrue(most <= 10 * 2 * 18, "busiest host: " + most + " messages in 10 s");
        assertTrue(all <= 10 * 2 * (9 * 18 + 86), "all hosts: " + all + " messages in 10 s");
    }

    @Test
    void reportsStillArriveWhenACollectorDies() {
        start(95);
        advance(Duration.ofSeconds(4));
        dead.add("h0");
        // Not yet known: its domain reports to all and hears only what others send to it directly.
        advance(Duration.ofSeconds(8));
        nodes.values().stream()
                .filter(node -> !node.name.equals("h0") && Integer.parseInt(node.name.substring(1)) % DOMAINS != 0)
                .forEach(node -> assertTrue(node.reports.inFlightOf(TARGET) >= 90, "at " + node.name));
        updateViews();
        advance(Duration.ofSeconds(3));
        assertAllHeard();
    }
}
