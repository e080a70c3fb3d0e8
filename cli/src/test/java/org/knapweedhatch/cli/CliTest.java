package org.knapweedhatch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.standin.PlatformStandIn;
import org.knapweedhatch.world.Configuration;

class CliTest {

    @TempDir
    private Path folder;

    private final MemoryPlatform memory = MemoryPlatform.create();
    private final PlatformStandIn standIn = PlatformStandIn.start("127.0.0.1", 0, "token", memory);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<Undertow> hosts = new ArrayList<>();

    @AfterEach
    void stop() {
        hosts.forEach(Undertow::stop);
        standIn.close();
    }

    private ExitCode run(String... args) {
        out.reset();
        err.reset();
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--platform", standIn.uri().getAuthority(), "--token", "token"));
        return Cli.run(all, stream(out), stream(err));
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private String note(String text) throws IOException {
        return Files.writeString(Files.createTempFile(folder, "n", ".ini"), text)
                .toString();
    }

    private static String example() {
        return Path.of("..", "examples", "agency.ini").toString();
    }

    private Configuration current() {
        return ReleaseStore.over(memory, Waiter.blocking()).current().orThrow();
    }

    private String host(String path, String json) {
        HttpHandler page = exchange -> exchange.getResponseSender().send(json);
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setHandler(Handlers.path().addExactPath(path, page))
                .build();
        server.start();
        hosts.add(server);
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "127.0.0.1:" + address.getPort();
    }

    @Test
    void aNoteIsCheckedShownAcceptedOnceAndSeen() {
        assertEquals(ExitCode.OK, run("release", "check", example()));
        assertEquals(0, memory.counts().writes());
        assertEquals(ExitCode.OK, run("release", "diff", example()));
        assertTrue(out().contains("add region lima"), out());
        assertEquals(ExitCode.OK, run("release", "accept", example()));
        assertTrue(out().contains("accepted as 1"));
        assertEquals(ExitCode.OK, run("release", "accept", example()));
        assertTrue(out().contains("already accepted as 1"));
    }

    @Test
    void aBadNoteIsRefusedWithFileLineAndField() throws IOException {
        String file = note("[add team a]\nrate = fast\nburst = 1\n");
        assertEquals(ExitCode.FAILED, run("release", "accept", file));
        assertEquals(file + ":2: rate: not a number: fast\n", err());
        assertEquals(
                ExitCode.FAILED,
                run("release", "check", "--alone", folder.resolve("none.ini").toString()));
        assertEquals(0, memory.counts().writes());
    }

    @Test
    void aKeyIsShownOnceKeptAsADigestAndWithdrawn() throws IOException {
        run("release", "accept", example());
        assertEquals(ExitCode.OK, run("key", "give", "despacho-norte", "--name", "k1", "--json"));
        JsonNode given = new ObjectMapper().readTree(out());
        String key = given.get("key").asText();
        assertEquals(
                "k1", current().keyByDigest(Digests.sha256(key)).orElseThrow().name());
        memory.list("").orThrow().forEach(object -> assertFalse(object.text().contains(key)));
        assertEquals(ExitCode.OK, run("key", "withdraw", "k1"));
        assertTrue(current().keyByDigest(Digests.sha256(key)).isEmpty());
        assertEquals(ExitCode.FAILED, run("key", "withdraw", "k1"));
    }

    @Test
    void aKeyGivenAgainUnderItsNameIsWithdrawnAgain() {
        run("release", "accept", example());
        for (int round = 0; round < 2; round++) {
            assertEquals(ExitCode.OK, run("key", "give", "despacho-norte", "--name", "k1"));
            assertEquals(ExitCode.OK, run("key", "withdraw", "k1"));
            assertFalse(current().keys().containsKey("k1"));
        }
    }

    @Test
    void aNameCanNotSmuggleSectionsIntoANote() {
        run("release", "accept", example());
        assertEquals(ExitCode.USAGE, run("key", "withdraw", "k1]\n[withdraw team despacho-norte"));
        assertEquals(1, current().number());
    }

    @Test
    void aLostAnswerStillEndsInTheNumber() {
        run("release", "accept", example());
        memory.loseResponses(3);
        assertEquals(ExitCode.OK, run("key", "give", "despacho-norte"));
        assertEquals(2, current().number());
    }

    @Test
    void anUnreachablePlatformAndWrongArgumentsHaveTheirOwnExitCodes() {
        memory.setDown(true);
        assertEquals(ExitCode.UNREACHABLE, run("release", "accept", example()));
        assertEquals(ExitCode.USAGE, run("release", "accept"));
        assertEquals(ExitCode.USAGE, run("release", "accept", example(), "--no-such-flag"));
        assertEquals(ExitCode.USAGE, run("nonsense"));
        assertEquals(ExitCode.USAGE, run("hosts", "--host", "localhost:80"));
        assertTrue(err().contains("--host"), err());
    }

    @Test
    void anotherNumberThanExpectedIsRefused() {
        assertEquals(ExitCode.CONFLICT, run("release", "accept", example(), "--after", "7"));
        assertEquals(0, memory.counts().writes());
    }

    @Test
    void statusTellsWhichHostsLag() {
        run("release", "accept", example());
        String current = host("/-/status", "{\"host\":\"lima-a-1\",\"configuration\":1}");
        String lagging = host("/-/status", "{\"host\":\"lima-b-1\",\"configuration\":0}");
        assertEquals(ExitCode.OK, run("release", "status", "--host", current));
        assertEquals(ExitCode.FAILED, run("release", "status", "--host", current, "--host", lagging));
        assertTrue(out().contains("in force on 1 of 2 hosts"), out());
        assertEquals(ExitCode.OK, run("hosts", "--host", current, "--json"));
        assertTrue(out().contains("\"host\" : \"lima-a-1\""), out());
    }

    @Test
    void lookupAsksTheNextHostWhereOneIsSilent() {
        String answer = "{\"hosts\":[{\"address\":\"127.0.0.11:80\",\"weight\":3}],\"ttlSeconds\":5}";
        String live = host("/-/lookup", answer);
        assertEquals(ExitCode.OK, run("lookup", "--client", "10.11.0.9", "--host", "127.0.0.1:1", "--host", live));
        assertTrue(out().contains("127.0.0.11:80         weight 3"), out());
    }

    @Test
    void routeTellsWhichRouteARequestTakes() throws IOException {
        byte[] body = ExampleEntries.configuration(12, 1).body();
        Path file = Files.write(Files.createTempFile(folder, "c", ".json"), body);
        assertEquals(ExitCode.OK, run("route", "A.example", "/a/17", "--configuration", file.toString()));
        assertTrue(out().contains("taken: orders (a.example/a/) -> {orders=1.0}, IDEMPOTENT, key, 1000 ms"), out());
        memory.create(OperatorConfiguration.NAME, body).orThrow();
        assertEquals(ExitCode.OK, run("route", "a.example", "/a/17", "--json"));
        JsonNode report = new ObjectMapper().readTree(out());
        assertEquals("orders", report.path("matches").path(0).path("name").asText());
    }

    @Test
    void routeSaysThatNoneMatchesOrThatTheConfigurationCannotBeRead() throws IOException {
        Path file = Files.write(
                Files.createTempFile(folder, "c", ".json"),
                ExampleEntries.configuration(12, 1).body());
        assertEquals(ExitCode.FAILED, run("route", "a.example", "/b", "--configuration", file.toString()));
        assertTrue(err().contains("no route of configuration 12 matches a.example /b"), err());
        Files.writeString(file, "{}");
        assertEquals(ExitCode.USAGE, run("route", "a.example", "/b", "--configuration", file.toString()));
        assertTrue(err().startsWith(file + ": "), err());
    }

    @Test
    void settingsComeFromAFileWithEveryFaultListed() {
        String text = "[platform]\naddress = nowhere\ncolour = red\n[else]\n";
        List<String> faults = CliSettings.parse("s.ini", text.getBytes(StandardCharsets.UTF_8)).faults().stream()
                .map(Object::toString)
                .toList();
        assertEquals(
                List.of(
                        "s.ini:4: else: unknown section",
                        "s.ini:2: address: not an address of the form ip:port: nowhere",
                        "s.ini:3: colour: unknown field"),
                faults);
    }
}
