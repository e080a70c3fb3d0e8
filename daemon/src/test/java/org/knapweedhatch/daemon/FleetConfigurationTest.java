package org.knapweedhatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.settings.Settings;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** Nine entry hosts on sockets, and releases that reach all of them. */
@Timeout(120)
class FleetConfigurationTest {

    private static final List<String> REGIONS = List.of("lima", "arequipa", "trujillo");
    private static final int HOSTS = 9;
    private static final int CUT_OFF = 4;

    private final MemoryPlatform memory = MemoryPlatform.create();
    private final PlatformStandIn standIn = PlatformStandIn.start("127.0.0.1", 0, "token", memory);
    private final HttpCaller caller = HttpCaller.create();
    private final List<EntryHost> hosts = new ArrayList<>();

    /** One host's platform address leads nowhere, so that it reaches only its peers. */
    @BeforeEach
    void start() throws IOException {
        List<Host> places = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            String region = REGIONS.get(i / 3);
            String domain = region + (i % 3 == 2 ? "-b" : "-a");
            String ip = "127.9.0." + (i + 1);
            Host host = new Host(domain + "-" + i, region, domain, freePort(ip), freePort(ip));
            places.add(host);
            memory.addHost(new ListedHost(host, false));
        }
        List<Address> peers = places.stream().map(Host::peer).toList();
        URI nowhere = URI.create("http://" + freePort("127.0.0.1"));
        for (int i = 0; i < HOSTS; i++) {
            URI base = i == CUT_OFF ? nowhere : standIn.uri();
            ObjectApi api = HttpPlatform.create(caller, base, "token");
            hosts.add(EntryHost.start(settings(places.get(i), peers), api, TimeSource.system()));
        }
    }

    private Settings settings(Host host, List<Address> peers) {
        Address platform = Address.parse(standIn.uri().getAuthority());
        return new Settings(
                host, peers, platform, "token", "sixteen-characters", Duration.ofMillis(100), Duration.ofSeconds(1));
    }

    @AfterEach
    void stop() {
        hosts.parallelStream().forEach(EntryHost::stop);
        caller.close();
        standIn.close();
    }

    private static Address freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return new Address(ip, socket.getLocalPort());
        }
    }

    private void accept(byte[] note, long number) throws InterruptedException {
        ReleaseNote parsed = ReleaseNote.parse("test.ini", note).orThrow();
        ObjectApi api = HttpPlatform.create(caller, standIn.uri(), "token");
        Acceptance acceptance = ReleaseStore.over(api, Waiter.blocking()).accept(parsed);
        assertEquals(
                number, assertInstanceOf(Acceptance.Accepted.class, acceptance).number());
        while (hosts.stream().anyMatch(host -> host.configuration().number() < number)) {
            Thread.sleep(5);
        }
    }

    @Test
    void releasesReachEveryHostThoughOneReachesOnlyItsPeersAndAnswersAreLost() throws Exception {
        accept(Files.readAllBytes(Path.of("..", "examples", "agency.ini")), 1);
        memory.loseResponses(3);
        accept("[withdraw key despacho-norte-1]\n".getBytes(StandardCharsets.UTF_8), 2);
        memory.setDelay(Duration.ofMillis(50));
        accept("[add drain region lima]\n".getBytes(StandardCharsets.UTF_8), 3);
        hosts.forEach(host -> assertEquals(3, host.configuration().number()));
        hosts.forEach(host -> assertEquals(1, host.configuration().drains().size()));
    }
}
