package org.knapweedhatch.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.DirectoryAnswer;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.platform.wire.PlatformHeaders;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.world.Address;

/**
 * Guards against a crowd of clients, each inside the configured limits, that takes a host's memory or descriptors from
 * its other callers. The process has less of both than in a deployment, so that a small crowd is enough.
 */
class CrowdInAProcessTest {

    private static final int HEAP_MB = 64;

    /** Memory of the virtual machine itself and of its code, in megabytes. */
    private static final int MACHINE_MB = 120;

    private static final int DESCRIPTORS = 400;
    private static final int BODY_BYTES = 8 << 20;

    /** Memory of the smallest machine of a deployment. */
    private static final int DEPLOYED_MB = 282;

    private static final int DEPLOYED_DESCRIPTORS = 2_069;

    /** Largest body in a deployment by default. */
    private static final int DEPLOYED_BODY_BYTES = 64 << 20;

    private static final int DEPLOYED_UPLOADS = 8;

    /** Together several times the heap and the direct memory of the process. */
    private static final int UPLOADS = 32;

    private static final int SLOW_READERS = 32;
    private static final int PIPELINES = 24;
    private static final int HEADS = 60_000;
    private static final int UNFINISHED = 300;

    /** More connections than callers may have with this limit of descriptors. */
    private static final int SILENT = 500;

    private static final int SMALL_BODY_BYTES = 200_000;
    private static final int TRICKLED_BYTES = 1_000;
    private static final long TRICKLE_PAUSE_MS = 50;

    /** Together several times the memory that requests may take. */
    private static final int WHOLE_BODIES = 60;

    private static final int WHOLE_BODY_BYTES = 4 << 20;

    /** Fewer than the connections that callers may have in a deployment. */
    private static final int WAITING_BODIES = 800;

    private static final int WAITING_BODY_BYTES = 1 << 20;

    /** The same where the machine has most descriptors. */
    private static final int ARRIVING_BODIES = 2_000;

    private static final int MAX_DEPLOYED_DESCRIPTORS = 4_096;
    private static final long SAMPLE_MS = 100;

    /** Legal at the pages, whose heads may have 16 KiB. */
    private static final int PAGE_HEAD_BYTES = 12_000;

    private static final String OTHER_KEY = "other-key";
    private static final int TARGETS = 12;
    private static final int CROWD_SECONDS = 45;
    private static final long SEED = 1;
    private static final long FILL_MS = 1_000;
    private static final long SETTLE_MS = 6_000;
    private static final Duration GRACE = Duration.ofSeconds(6);

    /** Time in which one ordinary request, sent again when it was refused, must be answered. */
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private static final int READ_TIMEOUT_MS = 10_000;
    private static final long RETRY_MS = 200;

    /** Requests of ordinary callers that are sent while a crowd takes memory. */
    private static final int MEANWHILE = 20;

    /** A caller may be told that its request did not run, but must not lose its connection or a response. */
    private static final Set<Integer> KEPT_PROMISES = Set.of(200, 429, 503);

    @TempDir
    private Path folder;

    private final HeaderScheme scheme = PlatformHeaders.scheme();
    private PlatformStandIn store;
    private EndlessTarget target;
    private HostProcess host;
    private Crowd crowd;
    /** Limit of descriptors in the settings of the host. */
    private int descriptors = DESCRIPTORS;

    @BeforeEach
    void start() throws IOException {
        start(BODY_BYTES);
    }

    private void startAsDeployed(int limit) throws IOException {
        stop();
        descriptors = limit;
        start(DEPLOYED_BODY_BYTES);
    }

    private void start(int bodyBytes) throws IOException {
        MemoryPlatform platform = MemoryPlatform.create();
        store = PlatformStandIn.start("127.0.0.1", 0, "", platform);
        target = new EndlessTarget(scheme);
        StoredObject configuration =
                ExampleEntries.withTeam(ExampleEntries.configuration(1, 1, GRACE, GRACE), "u", OTHER_KEY);
        String text = new String(configuration.body(), StandardCharsets.UTF_8);
        String limited = text.replace("\"MaxBodyBytes\":67108864", "\"MaxBodyBytes\":" + bodyBytes);
        platform.create(configuration.name(), limited.getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < TARGETS; i++) {
            StoredObject entry = ExampleEntries.target("i-" + i, 1, target.address(), "lima-a");
            platform.create(entry.name(), entry.body());
        }
        Address address = new Address(store.uri().getHost(), store.uri().getPort());
        host = HostProcess.create(folder, List.of("host-0"), address, GRACE).get(0);
        if (bodyBytes == DEPLOYED_BODY_BYTES) {
            host.deployedMemory().memoryMb(DEPLOYED_MB).descriptors(descriptors);
        } else {
            host.heapMb(HEAP_MB).descriptors(descriptors);
        }
        host.start();
        host.awaitReady();
        Threads.sleep(FILL_MS);
        crowd = new Crowd(host.edge(), Crowd.Heads.of(scheme, ExampleEntries.KEY));
    }

    @AfterEach
    void stop() throws IOException {
        crowd.close();
        host.kill();
        host.awaitEnd(GRACE);
        target.close();
        store.close();
    }

    @ParameterizedTest
    @CsvSource({"0, false", "0, true", "1, false", "1, true"})
    void callersAreAnsweredBesideManyLargeBodies(int missing, boolean chunked) throws IOException {
        crowd.upload(UPLOADS, BODY_BYTES, missing, chunked);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callersAreAnsweredBesideSilentConnections(boolean halfLeave) throws IOException {
        crowd.connectSilently(SILENT);
        if (halfLeave) {
            crowd.leaveByHalf();
        }
        assertServes();
    }

    @Test
    void callersAreAnsweredBesideSlowReadersOfLargeResponses() throws IOException {
        crowd.askWithoutReading(SLOW_READERS);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @Test
    void callersAreAnsweredBesideSlowReadersAndLargeBodies() throws IOException {
        crowd.askWithoutReading(SLOW_READERS);
        crowd.upload(UPLOADS, BODY_BYTES, 1, false);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @Test
    void callersAreAnsweredBesideEndlessPipelinedHeads() throws IOException {
        crowd.pipeline(PIPELINES, HEADS);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    @Test
    void callersAreAnsweredBesideUnfinishedHeads() throws IOException {
        crowd.sendUnfinishedHeads(UNFINISHED);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        assertServes();
    }

    /** Guards against refusing a body of legal size where nothing else needs the memory. */
    @Test
    void aSingleBodyOfTheLargestSizeIsServed() throws IOException {
        crowd.upload(1, BODY_BYTES, 0, false);
        crowd.settle(SETTLE_MS);
        Threads.sleep(FILL_MS);
        assertEquals(List.of(200), crowd.statuses());
    }

    /** Guards against limits that leave no room for the largest body, or for the rest of the machine. */
    @Test
    void aHostOfADeploymentServesTheLargestBodyAndStaysWithinItsMachine() throws IOException {
        startAsDeployed(DESCRIPTORS);
        crowd.upload(1, DEPLOYED_BODY_BYTES, 0, false);
        crowd.settle(SETTLE_MS);
        Threads.sleep(FILL_MS);
        assertEquals(List.of(200), crowd.statuses());
        crowd.upload(DEPLOYED_UPLOADS, DEPLOYED_BODY_BYTES, 1, true);
        crowd.askWithoutReading(SLOW_READERS);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        assertServes(DEPLOYED_MB);
    }

    /**
     * Guards against large bodies that take the memory of others although their heads tell that they are refused, and
     * against a refusal that says something else than why.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodiesWithAnUnknownKeyAreRefusedForTheirKey(boolean chunked) throws IOException {
        try (Crowd strangers = new Crowd(host.edge(), Crowd.Heads.of(scheme, "unknown-key"))) {
            strangers.upload(UPLOADS, BODY_BYTES, 1, chunked);
            callMeanwhile();
            strangers.settle(SETTLE_MS);
            Set<Integer> refusals = new HashSet<>(strangers.statuses());
            refusals.removeAll(Set.of(0, Crowd.PENDING));
            assertEquals(Set.of(401), refusals);
        }
        assertServes();
    }

    /** Guards against bodies that come a byte now and then for longer than their requests may take. */
    @Test
    void bodiesThatOutlastTheirRequestsTimeAreRefused() throws IOException {
        crowd.trickle(UPLOADS, SMALL_BODY_BYTES, TRICKLED_BYTES, TRICKLE_PAUSE_MS);
        callMeanwhile();
        assertServes();
        Threads.sleep(GRACE.plusSeconds(2).toMillis());
        List<Integer> statuses = crowd.statuses();
        assertTrue(Set.of(0, 408, 503).containsAll(statuses), statuses.toString());
    }

    /** Guards against requests that are complete and wait for each other. */
    @Test
    void wholeBodiesAreAnsweredInTheEnd() throws IOException {
        crowd.upload(WHOLE_BODIES, WHOLE_BODY_BYTES, 0, false);
        callMeanwhile();
        assertServes();
        Threads.sleep(GRACE.plusSeconds(2).toMillis());
        List<Integer> statuses = crowd.statuses();
        assertTrue(statuses.contains(200), statuses.toString());
        assertFalse(statuses.contains(Crowd.PENDING), statuses.toString());
    }

    /** Guards against a team whose bodies and responses take what others need. */
    @Test
    void callersAreAnsweredBesideTheCrowdOfAnotherTeam() throws IOException {
        try (Crowd others = new Crowd(host.edge(), Crowd.Heads.of(scheme, OTHER_KEY))) {
            others.upload(WHOLE_BODIES, WHOLE_BODY_BYTES, 0, false);
            others.askWithoutReading(SLOW_READERS);
            callMeanwhile();
            others.settle(SETTLE_MS);
            assertServes();
        }
    }

    /** Guards against a heap that grew with unfinished heads, beside which large bodies pass the machine's memory. */
    @Test
    void aHostOfADeploymentStaysWithinItsMachineWhenACrowdChangesItsHabits() throws IOException {
        startAsDeployed(DEPLOYED_DESCRIPTORS);
        crowd.sendUnfinishedHeads(2 * UNFINISHED);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        crowd.upload(DEPLOYED_UPLOADS, DEPLOYED_BODY_BYTES, 1, false);
        crowd.askWithoutReading(SLOW_READERS);
        callMeanwhile();
        crowd.settle(SETTLE_MS);
        assertServes(DEPLOYED_MB);
        crowd.close();
        Threads.sleep(SETTLE_MS);
        try (Crowd single = new Crowd(host.edge(), Crowd.Heads.of(scheme, ExampleEntries.KEY))) {
            single.upload(1, DEPLOYED_BODY_BYTES, 0, false);
            single.settle(SETTLE_MS);
            Threads.sleep(FILL_MS);
            assertEquals(List.of(200), single.statuses());
        }
        assertServes(DEPLOYED_MB);
    }

    /**
     * Guards against memory that is not returned when crowds leave, so that the largest body has no room.
     * {@code -Dcrowd.seconds=3600} lets them come and go for longer.
     */
    @Test
    void aHostOfADeploymentStaysWithinItsMachineWhileCrowdsComeAndGo() throws IOException {
        startAsDeployed(DEPLOYED_DESCRIPTORS);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Integer.getInteger("crowd.seconds", CROWD_SECONDS));
        new SoakCrowds(List.of(host), scheme, new SplittableRandom(SEED), () -> System.nanoTime() < end).run();
        assertServes(DEPLOYED_MB);
        assertEquals(200, lookUp());
        Threads.sleep(SETTLE_MS);
        long residentMb = host.residentMb();
        assertTrue(residentMb + (DEPLOYED_BODY_BYTES >> 20) <= DEPLOYED_MB, residentMb + " MB once they have left");
    }

    /** Guards against bodies that wait in the system's buffers, which count as memory of the host. */
    @Test
    void aHostOfADeploymentStaysWithinItsMachineBesideBodiesThatItDoesNotRead() throws IOException {
        startAsDeployed(DEPLOYED_DESCRIPTORS);
        crowd.upload(WAITING_BODIES, WAITING_BODY_BYTES, 1, false);
        crowd.settle(SETTLE_MS);
        assertServes(DEPLOYED_MB);
    }

    /** Listed in KNOWN-RED.txt: nothing bounds what the system receives for all connections together. */
    @EnabledIfSystemProperty(named = "known.red", matches = "true")
    @Test
    void aHostOfADeploymentStaysWithinItsMachineWhileManyBodiesArrive() throws IOException {
        startAsDeployed(MAX_DEPLOYED_DESCRIPTORS);
        crowd.upload(ARRIVING_BODIES, WAITING_BODY_BYTES, 1, false);
        long mostMb = 0;
        for (long waited = 0; waited < SETTLE_MS; waited += SAMPLE_MS) {
            mostMb = Math.max(mostMb, host.residentMb() + host.unreadMb());
            Threads.sleep(SAMPLE_MS);
        }
        assertServes(DEPLOYED_MB);
        assertTrue(mostMb <= DEPLOYED_MB, mostMb + " MB with input that was not read");
    }

    /** Guards against descriptors that one listener takes from the others. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callersAreAnsweredBesideCrowdsAtEveryAddress(boolean halfLeave) throws IOException {
        HostProcess.Addresses addresses = host.addresses();
        List<Crowd> crowds = new ArrayList<>();
        for (Address address : List.of(
                addresses.edge(), addresses.peer(), addresses.ready(), addresses.directory(), addresses.metrics())) {
            Crowd silent = new Crowd(address, Crowd.Heads.of(scheme, ExampleEntries.KEY));
            crowds.add(silent);
            silent.connectSilently(SILENT / 2);
            if (halfLeave) {
                silent.leaveByHalf();
            }
        }
        callMeanwhile();
        assertEquals(200, lookUp());
        assertTrue(host.isReady(), "the host is not ready");
        assertServes();
        for (Crowd silent : crowds) {
            silent.close();
        }
    }

    /** Guards against pages whose unfinished heads, or responses that nobody reads, take the memory of the host. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void pagesAreAnsweredBesideACrowdThatAsksForThem(boolean unfinished) throws IOException {
        HostProcess.Addresses addresses = host.addresses();
        List<Crowd> crowds = new ArrayList<>();
        for (Address address : List.of(addresses.ready(), addresses.directory(), addresses.metrics())) {
            Crowd pages = new Crowd(address, (method, name, id) -> "GET /-/metrics HTTP/1.1\r\nHost: a.example\r\n");
            crowds.add(pages);
            if (unfinished) {
                pages.sendUnfinishedHeads(UNFINISHED, "X-Long: " + "a".repeat(PAGE_HEAD_BYTES));
            } else {
                pages.askWithoutReading(UNFINISHED);
            }
            pages.settle(SETTLE_MS);
        }
        callMeanwhile();
        assertEquals(200, lookUp());
        assertTrue(host.isReady(), "the host is not ready");
        assertServes();
        for (Crowd pages : crowds) {
            pages.close();
        }
    }

    @Test
    void aStoppingHostEndsBesideACrowd() throws IOException {
        crowd.upload(UPLOADS, BODY_BYTES, 1, false);
        crowd.askWithoutReading(SLOW_READERS);
        Threads.sleep(FILL_MS);
        host.stop();
        assertTrue(host.awaitEnd(GRACE.plusSeconds(4)), "the host did not end");
        assertEquals(0, host.exitValue());
    }

    /** Sends ordinary requests while a crowd takes memory; each must be answered or refused. */
    private void callMeanwhile() {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < MEANWHILE; i++) {
            statuses.add(call("meanwhile-" + i));
            Threads.sleep(RETRY_MS);
        }
        assertTrue(KEPT_PROMISES.containsAll(statuses), statuses.toString());
    }

    private void assertServes() throws IOException {
        assertServes(2 * HEAP_MB + MACHINE_MB);
    }

    private void assertServes(long maxMb) throws IOException {
        long end = System.nanoTime() + PATIENCE.toNanos();
        int status = 0;
        for (int i = 0; status != 200 && System.nanoTime() < end; i++) {
            status = call("ordinary-" + i);
            if (status != 200) {
                Threads.sleep(RETRY_MS);
            }
        }
        assertTrue(host.isAlive(), "the host ended");
        assertEquals(200, status);
        long residentMb = host.residentPeakMb();
        long unreadMb = host.unreadMb();
        assertTrue(residentMb + unreadMb <= maxMb, residentMb + " MB, and " + unreadMb + " MB unread");
        long open = host.openDescriptors();
        assertTrue(open <= descriptors, open + " descriptors");
    }

    /** Asks once, and once more if the listener made room for others meanwhile. */
    private int lookUp() {
        String path = DirectoryAnswer.LOOK_UP_PATH + "?" + DirectoryAnswer.REGION + "=lima&" + DirectoryAnswer.DOMAIN
                + "=lima-a";
        String request = "GET " + path + " HTTP/1.1\r\nHost: " + ExampleEntries.HOST + "\r\n\r\n";
        int status = ask(host.addresses().directory(), request);
        return status == 200 ? status : ask(host.addresses().directory(), request);
    }

    private int call(String id) {
        String request = "GET " + ExampleEntries.REPEATABLE_PATH + "x HTTP/1.1\r\nHost: " + ExampleEntries.HOST
                + "\r\n" + scheme.key() + ": " + ExampleEntries.KEY + "\r\n" + scheme.requestId() + ": " + id
                + "\r\n\r\n";
        return ask(host.edge(), request);
    }

    private static int ask(Address address, String request) {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            HttpText response = HttpText.read(socket.getInputStream());
            return response == null ? 0 : response.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
