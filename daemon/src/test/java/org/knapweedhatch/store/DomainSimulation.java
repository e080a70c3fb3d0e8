package org.knapweedhatch.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.peer.PeerCodecs;
import org.knapweedhatch.peer.PeerTransport;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.HostReports;
import org.knapweedhatch.steer.NearestHosts;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** The hosts of one failure domain on links of a given rate, two of which watch a store. */
final class DomainSimulation {

    private static final String DOMAIN = "lima-a";
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration REPORTS = Duration.ofMillis(500);
    private static final Duration HEARTBEATS = Duration.ofMillis(250);

    /** Time after which a fetch ends without an answer; that of the transport. */
    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

    private static final int ENVELOPE_BYTES = 40;
    private static final int HEARTBEAT_BYTES = 120;
    private static final int REPORT_BYTES = 400;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final EventLog log = EventLog.start(OutputStream.nullOutputStream(), "test", time);
    private final PeerCodecs codecs = PeerCodecs.all();
    private final DomainLinks links;
    private final double megabitsPerSecond;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, Duration> inForce = new TreeMap<>();
    private Duration longestHeartbeat = Duration.ZERO;
    private long awaited;
    private long acknowledgedNanos;

    private final class Node {
        final String name;
        final StoreCache cache = StoreCache.of(Map.of(DOMAIN, "lima"), time, log);
        final WatchRole role = WatchRole.of(DOMAIN, time);
        final HostReports reports = HostReports.of(time);
        final PeerFetcher fetcher =
                new PeerFetcher(cache, reports, role::watches, this::nearest, this::fetch, time, log);
        final StoreRelay relay = new StoreRelay(cache, role, fetcher, this::send, time);
        final ListingServer server = ListingServer.of(cache);
        long reported;
        long readFreeNanos;
        long number;

        Node(String name) {
            this.name = name;
            cache.relay(relay);
            cache.onChange(this::changed);
        }

        /** Reads a change from the store, behind those that it is reading. */
        private void read(StoredObject configuration) {
            Changes changes = new Changes(List.of(configuration), List.of(), configuration.version());
            long onLink = (long) (configuration.body().length / (megabitsPerSecond * 1e6 / 8) * 1e9);
            readFreeNanos = Math.max(time.nanos(), readFreeNanos) + onLink;
            links.after(
                    Duration.ofNanos(readFreeNanos - time.nanos()),
                    () -> cache.listener(ObjectKind.CONFIGURATION).changed(changes));
        }

        private void changed() {
            long next = cache.configuration().number();
            assertTrue(next >= number, name + " went back from " + number + " to " + next);
            number = next;
            if (awaited > 0 && cache.configuration().number() >= awaited) {
                inForce.putIfAbsent(name, Duration.ofNanos(time.nanos() - acknowledgedNanos));
            }
        }

        private void send(Collection<String> hosts, PeerMessage message) {
            int bytes = codecs.encode(message).build().getSerializedSize() + ENVELOPE_BYTES;
            hosts.forEach(host ->
                    links.send(name, host, bytes, () -> nodes.get(host).relay.receive(name, message)));
        }

        private CompletableFuture<Result<byte[]>> fetch(String host, String object) {
            CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
            links.after(FETCH_TIMEOUT, () -> answer.complete(Result.failed(Step.PEER, host, "no answer in time")));
            links.send(name, host, ENVELOPE_BYTES + object.length(), () -> {
                Result<byte[]> served = nodes.get(host)
                        .server
                        .serve(object)
                        .map(Result::ok)
                        .orElseGet(() -> Result.failed(Step.PEER, host, PeerTransport.NOT_HELD));
                int bytes = ENVELOPE_BYTES + (served.isOk() ? served.orThrow().length : 0);
                links.send(host, name, bytes, () -> answer.complete(served));
            });
            return answer;
        }

        private List<String> nearest(List<String> hosts) {
            return NearestHosts.order(view(name), hosts);
        }

        private void tick() {
            fetcher.tick();
            relay.tick();
            cache.tick();
            links.after(TICK, this::tick);
        }

        private void report() {
            HostReport report = new HostReport(++reported, Map.of(), Map.of(), Map.of(), Map.of(), cache.versions());
            others().forEach(host -> links.send(
                    name, host, REPORT_BYTES, () -> nodes.get(host).reports.receive(name, "lima", 1, report)));
            reports.tick();
            links.after(REPORTS, this::report);
        }

        private void heartbeat() {
            long sent = time.nanos();
            others().forEach(host -> links.send(name, host, HEARTBEAT_BYTES, () -> {
                Duration took = Duration.ofNanos(time.nanos() - sent);
                longestHeartbeat = took.compareTo(longestHeartbeat) > 0 ? took : longestHeartbeat;
            }));
            links.after(HEARTBEATS, this::heartbeat);
        }

        private List<String> others() {
            return nodes.keySet().stream().filter(host -> !host.equals(name)).toList();
        }
    }

    DomainSimulation(int hosts, double megabitsPerSecond, StoredObject configuration) {
        this(hosts, megabitsPerSecond, configuration, 1);
    }

    DomainSimulation(int hosts, double megabitsPerSecond, StoredObject configuration, long seed) {
        this.megabitsPerSecond = megabitsPerSecond;
        links = new DomainLinks(time, megabitsPerSecond, seed);
        IntStream.range(0, hosts).forEach(i -> nodes.put("h" + i, new Node("h" + i)));
        SplittableRandom random = new SplittableRandom(seed);
        nodes.values().forEach(node -> {
            node.role.update(view(node.name));
            node.cache.listener(ObjectKind.CONFIGURATION).listed(new Listing(List.of(configuration), 1));
            node.cache.listener(ObjectKind.TARGETS).listed(new Listing(List.of(), 1));
            node.cache.listener(ObjectKind.EVACUATIONS).listed(new Listing(List.of(), 1));
            links.after(Duration.ofMillis(random.nextInt(100)), node::tick);
            links.after(Duration.ofMillis(random.nextInt(500)), node::report);
            links.after(Duration.ofMillis(random.nextInt(250)), node::heartbeat);
        });
        links.run(Duration.ofSeconds(2));
    }

    private MembershipView view(String self) {
        return MembershipView.of(
                self,
                nodes.keySet().stream()
                        .map(name -> {
                            Address address = new Address("10.0.1." + name.substring(1), 80);
                            Host host = new Host(name, "lima", DOMAIN, address, address);
                            return new Member(host, 1, MemberState.ALIVE, 1, Load.NONE);
                        })
                        .toList());
    }

    /** Writes a configuration to the store, from which the watching hosts read it, and lets time pass. */
    void write(long number, StoredObject configuration, Duration span) {
        awaited = number;
        inForce.clear();
        longestHeartbeat = Duration.ZERO;
        acknowledgedNanos = time.nanos();
        nodes.values().stream().filter(node -> node.role.watches()).forEach(node -> node.read(configuration));
        links.run(span);
    }

    /** Sets the share of messages between hosts that never arrive. */
    void loss(double share) {
        links.loss(share);
    }

    /** Returns the hosts that hold something else than one configuration. */
    List<String> hostsWithout(StoredObject configuration) {
        return nodes.values().stream()
                .filter(node ->
                        !node.cache.held(ObjectKind.CONFIGURATION).objects().equals(List.of(configuration)))
                .map(node -> node.name)
                .toList();
    }

    /** Lets time pass without a change. */
    void idle(Duration span) {
        links.run(span);
    }

    /** Returns the time from the acknowledgement until each host had the last written configuration in force. */
    Map<String, Duration> timesInForce() {
        return Map.copyOf(inForce);
    }

    /** Returns the longest time that a heartbeat took since the last write. */
    Duration longestHeartbeat() {
        return longestHeartbeat;
    }

    /** Returns the bytes that all hosts have sent. */
    long sentBytes() {
        return nodes.keySet().stream().mapToLong(links::sentBytes).sum();
    }

    /** Returns the bytes that the host that sends most has sent. */
    long mostSentBytes() {
        return nodes.keySet().stream().mapToLong(links::sentBytes).max().orElse(0);
    }

    void close() {
        log.close();
    }

    /** Returns a configuration of some routes and two more, of which one has the time-out given in milliseconds. */
    static StoredObject configuration(long number, long version, int routes, int timeoutMillis) {
        Duration timeout = Duration.ofMillis(timeoutMillis);
        return ExampleEntries.withRoutes(
                ExampleEntries.configuration(number, version, timeout, Duration.ofSeconds(1)), routes);
    }
}
