package org.knapweedhatch.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.release.Acceptance;
import org.knapweedhatch.release.ReleaseNote;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.standin.target.TargetStandIn;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Target;

/**
 * Guards against a crowd of clients, each inside the limits, that takes the memory or the descriptors of a host with
 * the project's own interface from its other callers.
 *
 * <p>A host that still runs serves the next test too, as it takes a while to own its part of slots and limits.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EntryHostCrowdTest {

    private static final int HEAP_MB = 48;

    /** Memory of the virtual machine itself and of its code, in megabytes. */
    private static final int MACHINE_MB = 120;

    private static final int DESCRIPTORS = 400;
    private static final int UNFINISHED = 1_000;

    /** Legal, as a head may have 32 KiB. */
    private static final int HEAD_BYTES = 30_000;

    private static final int BODIES = 1_000;
    private static final int BODY_BYTES = 65_000;
    private static final int UPLOADS = 100;
    private static final int UPLOAD_BYTES = 8 << 20;
    private static final int SLOW_READERS = 200;
    private static final int SILENT = 600;
    private static final int TARGETS = 4;
    private static final String KEY = "secret-key-1";
    private static final Duration DRAIN = Duration.ofSeconds(5);
    private static final Duration STOP = Duration.ofSeconds(3);
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final Duration END = Duration.ofSeconds(30);
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final long RETRY_MS = 200;
    private static final long SETTLE_MS = 6_000;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private static Path folder;

    private final MemoryPlatform platform = MemoryPlatform.create();
    private final List<TargetStandIn> targets = new ArrayList<>();
    private PlatformStandIn store;
    private HostProcess host;
    private int hostDescriptors;
    private Crowd crowd;

    @BeforeAll
    void startStore() throws IOException {
        store = PlatformStandIn.start("127.0.0.1", 0, "", platform);
        for (int i = 0; i < TARGETS; i++) {
            Address address = new Address("127.0.0.1", freePort());
            Target declared = new Target("orders-" + i, "orders", "lima-a", address, 3, 330);
            targets.add(TargetStandIn.of(declared, Duration.ofMillis(1)).start());
        }
        ReleaseNote note = ReleaseNote.parse("test.ini", note().getBytes(StandardCharsets.UTF_8))
                .orThrow();
        assertInstanceOf(
                Acceptance.Accepted.class,
                ReleaseStore.over(platform, Waiter.blocking()).accept(note));
    }

    /** Starts a host, or goes on with the one that runs; the system sets it a limit of descriptors. */
    private void start(int descriptors) throws IOException {
        if (host == null || !host.isAlive() || hostDescriptors != descriptors) {
            kill();
            Address address = new Address(store.uri().getHost(), store.uri().getPort());
            host = HostProcess.createEntryHost(folder, address, DRAIN, STOP).heapMb(HEAP_MB);
            host.systemDescriptors(descriptors).start();
            hostDescriptors = descriptors;
        }
        host.awaitReady();
        crowd = crowd();
    }

    private void kill() {
        if (host != null) {
            host.kill();
            host.awaitEnd(END);
        }
    }

    private Crowd crowd() {
        return new Crowd(
                host.edge(),
                (method, name, id) -> method + " /open/" + name + "?size=4000000 HTTP/1.1\r\nHost: a.example\r\n");
    }

    private String note() {
        StringBuilder note = new StringBuilder("""
                [add region lima]
                [add domain lima-a]
                region = lima
                [add service orders]
                timeout = 5s
                [add route orders]
                path = /orders
                service = orders
                access = keyed
                [add route open]
                path = /open
                service = orders
                access = open
                [add team crew-1]
                rate = 100
                burst = 20
                [add key crew-key]
                team = crew-1
                digest = %s
                """.formatted(Digests.sha256(KEY)));
        for (TargetStandIn target : targets) {
            note.append(
                    """
                    [add target %s]
                    service = orders
                    domain = lima-a
                    address = %s
                    slots = 3
                    connections = 330
                    """.formatted(target.declared().name(), target.declared().address()));
        }
        return note.toString();
    }

    @AfterEach
    void leave() throws IOException {
        crowd.close();
    }

    @AfterAll
    void stop() {
        kill();
        targets.forEach(TargetStandIn::stop);
        store.close();
    }

    @Test
    void callersAreAnsweredBesideUnfinishedHeads() throws IOException {
        start(2 * UNFINISHED);
        crowd.sendUnfinishedHeads(UNFINISHED, "X-Long: " + "a".repeat(HEAD_BYTES));
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "0, false"})
    void callersAreAnsweredBesideManyBodies(int missing, boolean chunked) throws IOException {
        start(2 * UNFINISHED);
        crowd.upload(BODIES, BODY_BYTES, missing, chunked);
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    /** Listed in KNOWN-RED.txt: the host ended once. */
    @EnabledIfSystemProperty(named = "known.red", matches = "true")
    @Test
    void callersAreAnsweredBesideLargeBodies() throws IOException {
        start(2 * UNFINISHED);
        crowd.upload(UPLOADS, UPLOAD_BYTES, 1, false);
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @Test
    void callersAreAnsweredBesideLargeChunkedBodies() throws IOException {
        start(2 * UNFINISHED);
        crowd.upload(UPLOADS, UPLOAD_BYTES, 1, true);
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @Test
    void callersAreAnsweredBesideSlowReaders() throws IOException {
        start(2 * UNFINISHED);
        crowd.askWithoutReading(SLOW_READERS);
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callersAreAnsweredBesideSilentConnections(boolean halfLeave) throws IOException {
        start(DESCRIPTORS);
        crowd.connectSilently(SILENT);
        if (halfLeave) {
            crowd.leaveByHalf();
        }
        assertServes();
    }

    @Test
    void aStoppingHostEndsBesideACrowd() throws IOException {
        start(2 * UNFINISHED);
        crowd.upload(UPLOADS, UPLOAD_BYTES, 1, false);
        crowd.sendUnfinishedHeads(UNFINISHED / 4, "X-Long: " + "a".repeat(HEAD_BYTES));
        Threads.sleep(SETTLE_MS / 6);
        host.stop();
        assertTrue(host.awaitEnd(END), "the host did not end");
    }

    private void assertServes() throws IOException {
        long end = System.nanoTime() + PATIENCE.toNanos();
        int status = 0;
        while (status != 200 && System.nanoTime() < end) {
            status = call();
            if (status != 200) {
                Threads.sleep(RETRY_MS);
            }
        }
        assertTrue(host.isAlive(), () -> "the host ended with " + host.exitValue() + "; its log: " + folder);
        assertEquals(200, status);
        assertTrue(host.isReady(), "the host is not ready");
        long residentMb = host.residentPeakMb();
        long unreadMb = host.unreadMb();
        assertTrue(
                residentMb + unreadMb <= 2 * HEAP_MB + MACHINE_MB, residentMb + " MB, and " + unreadMb + " MB unread");
    }

    private int call() {
        try (Socket socket = new Socket(host.edge().ip(), host.edge().port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            String request =
                    "GET /orders/7 HTTP/1.1\r\nHost: a.example\r\n" + HeaderNames.KEY + ": " + KEY + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            HttpText response = HttpText.read(socket.getInputStream());
            return response == null ? 0 : response.status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
