package org.knapweedhatch.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.http.HttpCall;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.platform.store.Wire;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

class HttpPlatformTest {

    private static final Duration WAIT = Duration.ofSeconds(20);

    private final MemoryPlatform memory = MemoryPlatform.create();
    private PlatformStandIn standIn = PlatformStandIn.start("127.0.0.1", 0, "token", memory);
    private final HttpCaller caller = HttpCaller.create();
    private final HttpPlatform api = client("token");

    private HttpPlatform client(String token) {
        Random random = new Random(1);
        return HttpPlatform.create(caller, standIn.uri(), token)
                .timeout(Duration.ofSeconds(10))
                .backOff(pause -> {}, random::nextDouble);
    }

    @AfterEach
    void stop() {
        caller.close();
        standIn.close();
    }

    private static void assertFails(PlatformError problem, Result<?> result) {
        assertTrue(problem.matches(result.fault()), result.fault().toString());
    }

    @Test
    void objectsAreCreatedReadUpdatedListedAndDeletedByVersion() {
        StoredObject made = api.create("limit/team:a b+c/ñ", new byte[] {1, 2}).orThrow();
        assertEquals(made, api.read(made.name()).orThrow());
        assertFails(PlatformError.CONFLICT, api.create(made.name(), new byte[0]));
        StoredObject next = api.update(made.name(), new byte[0], made.version()).orThrow();
        assertFails(PlatformError.CONFLICT, api.update(made.name(), new byte[] {9}, made.version()));
        assertEquals(List.of(next), api.list("limit/").orThrow());
        assertFails(PlatformError.CONFLICT, api.delete(made.name(), made.version()));
        assertTrue(api.delete(made.name(), next.version()).orThrow() > next.version());
        assertFails(PlatformError.MISSING, api.read(made.name()));
        assertFails(PlatformError.MISSING, api.update("none", new byte[0], 7));
    }

    @Test
    void aBodyOfAMegabyteIsHeldAndALargerOneRejected() {
        byte[] body = new byte[StoredObject.MAX_BYTES];
        new Random(7).nextBytes(body);
        assertEquals(api.create("big", body).orThrow(), api.read("big").orThrow());
        assertFails(PlatformError.REJECTED, api.create("bigger", new byte[StoredObject.MAX_BYTES + 1]));
    }

    @Test
    void wrongCredentialsAreRejected() {
        assertFails(PlatformError.REJECTED, client("other").read("x"));
    }

    @Test
    void aWatchReturnsOnAChangeAndResumesFromItsVersion() throws Exception {
        StoredObject first = api.create("release/head", new byte[] {1}).orThrow();
        assertEquals(List.of(first), api.watch("release/", 0, WAIT).orThrow());
        assertEquals(
                List.of(),
                api.watch("release/", first.version(), Duration.ofMillis(1)).orThrow());
        CompletableFuture<List<StoredObject>> waiting = CompletableFuture.supplyAsync(
                () -> api.watch("release/", first.version(), WAIT).orThrow());
        StoredObject second =
                api.update("release/head", new byte[] {2}, first.version()).orThrow();
        assertEquals(List.of(second), waiting.get());
    }

    @Test
    void anAnswerLostAfterAWriteIsUnknownAndTheWriteStands() {
        memory.loseResponses(1);
        assertFails(PlatformError.UNKNOWN, api.create("x", new byte[] {5}));
        assertEquals(5, api.read("x").orThrow().body()[0]);
        memory.dropWrites(1);
        assertFails(PlatformError.UNKNOWN, api.create("y", new byte[] {5}));
        assertFails(PlatformError.MISSING, api.read("y"));
    }

    @Test
    void aSlowPlatformTimesOutAsUnknownForAWriteAndUnavailableForARead() {
        HttpPlatform hasty = api.timeout(Duration.ofMillis(50));
        api.create("warm", new byte[0]);
        memory.setDelay(Duration.ofMillis(1_500));
        assertFails(PlatformError.UNKNOWN, hasty.create("x", new byte[] {5}));
        assertFails(PlatformError.UNAVAILABLE, hasty.watch("x", 0, Duration.ZERO));
    }

    @Test
    void readsAreTriedAgainInsideABudgetAndWritesAreNot() {
        memory.setDown(true);
        for (int i = 0; i < 20; i++) {
            assertFails(PlatformError.UNAVAILABLE, api.read("x"));
        }
        long reads = api.counts().reads();
        assertTrue(reads > 20 && reads <= 20 + 10 + 20 * 0.2, "reads " + reads);
        assertFails(PlatformError.UNAVAILABLE, api.create("x", new byte[0]));
        assertEquals(1, api.counts().writes());
        assertEquals(memory.counts().reads(), reads);
    }

    @Test
    void aStoppedPlatformIsUnavailableAndIsUsedAgainOnceItIsBack() {
        api.create("x", new byte[] {1});
        URI uri = standIn.uri();
        standIn.close();
        assertFails(PlatformError.UNAVAILABLE, api.read("x"));
        assertFails(PlatformError.UNAVAILABLE, api.create("y", new byte[0]));
        standIn = PlatformStandIn.start(uri.getHost(), uri.getPort(), "token", memory);
        assertEquals(1, api.read("x").orThrow().body()[0]);
    }

    @Test
    void faultsAndHostsAreSetOverTheAdminPath() {
        Address address = new Address("127.0.0.1", 80);
        ListedHost host = new ListedHost(new Host("lima-a-1", "lima", "lima-a", address, address), true);
        put("/admin/hosts", Wire.write(host));
        assertEquals(List.of(host), api.hosts().orThrow());
        put("/admin/faults", "{\"down\":true}".getBytes(StandardCharsets.UTF_8));
        assertFails(PlatformError.UNAVAILABLE, api.hosts());
        put("/admin/faults", "{}".getBytes(StandardCharsets.UTF_8));
        assertEquals(1, api.hosts().orThrow().size());
    }

    private void put(String path, byte[] json) {
        URI uri = Wire.uri(standIn.uri(), path, Map.of());
        assertEquals(200, caller.call(HttpCall.of("PUT", uri, json)).orThrow().status());
    }
}
