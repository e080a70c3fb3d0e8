package org.knapweedhatch.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.platform.wire.PlatformHeaders;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.world.Address;

/** Guards against a host running out of memory when targets send without end on many connections at once. */
class EndlessResponsesInAProcessTest {

    /** Together more than the memory of the process, at the largest response that is buffered. */
    private static final int ENDLESS = 24;

    /** Entries of the same target, whose slots leave room for others. */
    private static final int TARGETS = 12;

    /** Time in which the team's rate limit fills up from empty. */
    private static final long FILL_MS = 1_000;

    private static final int OTHERS = 40;
    private static final long PAUSE_MS = 25;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @TempDir
    private Path folder;

    private final HeaderScheme scheme = PlatformHeaders.scheme();

    @ParameterizedTest
    @ValueSource(strings = {"chunks", "body", "head", "line", "informing"})
    void requestsOfOthersAreAnsweredWhileTargetsSendWithoutEnd(String script) throws IOException {
        MemoryPlatform platform = MemoryPlatform.create();
        try (PlatformStandIn store = PlatformStandIn.start("127.0.0.1", 0, "", platform);
                EndlessTarget target = new EndlessTarget(scheme)) {
            put(platform, ExampleEntries.configuration(1, 1, TIMEOUT, TIMEOUT));
            for (int i = 0; i < TARGETS; i++) {
                put(platform, ExampleEntries.target("i-" + i, 1, target.address(), "lima-a"));
            }
            Address address = new Address(store.uri().getHost(), store.uri().getPort());
            HostProcess host = HostProcess.create(folder, List.of("host-0"), address, TIMEOUT)
                    .get(0);
            host.start();
            try {
                host.awaitReady();
                Threads.sleep(FILL_MS);
                callBesideEndlessResponses(host, script);
                assertTrue(host.isAlive(), "the host ended");
            } finally {
                host.kill();
                host.awaitEnd(TIMEOUT);
            }
        }
    }

    private static void put(MemoryPlatform platform, StoredObject object) {
        platform.create(object.name(), object.body());
    }

    private void callBesideEndlessResponses(HostProcess host, String script) throws IOException {
        List<Integer> statuses = new CopyOnWriteArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < ENDLESS; i++) {
            String id = "endless-" + i;
            callers.add(Threads.start("caller", () -> {
                try {
                    statuses.add(call(host, ExampleEntries.REPEATABLE_PATH + script, id));
                } catch (IOException e) {
                    statuses.add(0);
                }
            }));
        }
        int answered = 0;
        for (int i = 0; i < OTHERS; i++) {
            int status = call(host, ExampleEntries.ONCE_PATH + "x", "other-" + i);
            // A request beside others may be refused, but an admitted one must not be lost.
            assertTrue(status == 200 || status == 429 || status == 503, "status " + status);
            answered += status == 200 ? 1 : 0;
            Threads.sleep(PAUSE_MS);
        }
        for (Thread caller : callers) {
            try {
                caller.join();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        assertTrue(answered > 0, "no request was answered");
        assertTrue(statuses.stream().allMatch(status -> status == 429 || status >= 500), statuses.toString());
    }

    private int call(HostProcess host, String path, String id) throws IOException {
        try (Socket socket = new Socket(host.edge().ip(), host.edge().port())) {
            socket.setSoTimeout((int) TIMEOUT.multipliedBy(2).toMillis());
            String request = "GET " + path + " HTTP/1.1\r\nHost: " + ExampleEntries.HOST + "\r\n" + scheme.key() + ": "
                    + ExampleEntries.KEY + "\r\n" + scheme.requestId() + ": " + id + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            HttpText response = HttpText.read(socket.getInputStream());
            return response == null ? 0 : response.status();
        }
    }
}
