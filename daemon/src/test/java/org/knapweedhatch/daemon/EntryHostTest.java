package org.knapweedhatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.settings.Settings;
import org.knapweedhatch.standin.target.TargetStandIn;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

class EntryHostTest {

    private static final String KEY = "secret-key-1";

    private final Address targetAddress = new Address("127.0.0.1", freePort());
    private final MemoryPlatform platform = MemoryPlatform.create();
    private final Host self = new Host(
            "lima-a-1", "lima", "lima-a", new Address("127.0.0.1", freePort()), new Address("127.0.0.1", freePort()));
    private EntryHost host;
    private TargetStandIn target;

    @AfterEach
    void stop() {
        host.stop();
        target.stop();
    }

    @Test
    void requestIsServedUnderAReleaseAndRefusedAfterItsKeyIsWithdrawn() throws Exception {
        accept(note());
        host = EntryHost.start(settings(), platform, TimeSource.system());
        awaitReady();
        awaitConfiguration(1);
        target = TargetStandIn.of(host.configuration().targets().get("orders-1"), Duration.ofMillis(1))
                .start();
        HttpClient client = HttpClient.newHttpClient();
        assertEquals(200, get(client).statusCode());
        accept("[withdraw key crew-key]\n");
        awaitConfiguration(2);
        HttpResponse<String> refused = get(client);
        assertEquals(
                HeaderNames.NOT_RUN,
                refused.headers().firstValue(HeaderNames.OUTCOME).orElseThrow());
        assertEquals(1, target.runs().size());
    }

    private void accept(String note) {
        ReleaseNote parsed = ReleaseNote.parse("test.ini", note.getBytes(StandardCharsets.UTF_8))
                .orThrow();
        assertInstanceOf(
                Acceptance.Accepted.class,
                ReleaseStore.over(platform, Waiter.blocking()).accept(parsed));
    }

    private String note() {
        return """
                [add region lima]
                [add domain lima-a]
                region = lima
                [add service orders]
                timeout = 2s
                [add route orders]
                path = /orders
                service = orders
                access = keyed
                [add target orders-1]
                service = orders
                domain = lima-a
                address = %s
                slots = 3
                connections = 330
                [add team crew-1]
                rate = 100
                burst = 20
                [add key crew-key]
                team = crew-1
                digest = %s
                """.formatted(targetAddress, Digests.sha256(KEY));
    }

    private Settings settings() {
        return new Settings(
                self, List.of(), targetAddress, "", "sixteen-characters", Duration.ofSeconds(1), Duration.ofSeconds(5));
    }

    private void awaitReady() throws InterruptedException {
        while (!host.ready()) {
            Thread.sleep(5);
        }
    }

    private void awaitConfiguration(long number) throws InterruptedException {
        while (host.configuration().number() < number) {
            Thread.sleep(5);
        }
    }

    private HttpResponse<String> get(HttpClient client) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + self.edge() + "/orders/7"))
                .header(HeaderNames.KEY, KEY)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
