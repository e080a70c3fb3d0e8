package org.knapweedhatch.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.standin.target.AnswerFault;
import org.knapweedhatch.standin.target.Answers;
import org.knapweedhatch.standin.target.TargetFaults;
import org.knapweedhatch.standin.target.TargetStandIn;
import org.knapweedhatch.world.Access;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Key;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Target;

class EdgeTest {

    private static final String KEY = "secret-key-1";

    private final HttpClient client = HttpClient.newHttpClient();
    private final Address edgeAddress = new Address("127.0.0.1", freePort());
    private TargetStandIn target;
    private Edge edge;

    @BeforeEach
    void start() {
        Target declared = new Target("t1", "orders", "lima-a", new Address("127.0.0.1", freePort()), 3, 330);
        Configuration configuration = Configuration.builder()
                .region(new Region("lima"))
                .domain(new FailureDomain("lima-a", "lima"))
                .target(declared)
                .route(new Route("orders", "/orders", "orders", Access.KEYED))
                .key(new Key("k1", "crew-1", Digests.sha256(KEY)))
                .build(1);
        target = TargetStandIn.of(declared, Duration.ofMillis(1)).start();
        KeyRing ring = KeyRing.empty().configure(configuration);
        Callers callers = new Callers("lima-a-1", "lima", () -> configuration, () -> ring);
        edge = Edge.listen(edgeAddress, Admin.builder().build(), callers);
    }

    @AfterEach
    void stop() {
        edge.stop();
        target.stop();
    }

    @Test
    void answerReachesTheCallerWhole() throws Exception {
        HttpResponse<byte[]> answer = get("/orders/7?size=5000000");
        assertEquals(200, answer.statusCode());
        assertArrayEquals(Answers.body("/orders/7?size=5000000", 5_000_000), answer.body());
    }

    @Test
    void bodyReachesTheTargetWhole() throws Exception {
        byte[] photograph = Answers.body("photograph", 3_000_000);
        HttpRequest request = HttpRequest.newBuilder(uri("/orders/7"))
                .header(HeaderNames.KEY, KEY)
                .POST(HttpRequest.BodyPublishers.ofByteArray(photograph))
                .build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(Digests.sha256(photograph), answer.body());
    }

    @Test
    void targetNeverSeesTheKey() throws Exception {
        get("/orders/7");
        assertFalse(target.runs().get(0).keySeen());
    }

    @Test
    void cutAnswerNeverLooksWhole() {
        target.misbehave(TargetFaults.every(1, AnswerFault.CUT));
        assertThrows(IOException.class, () -> get("/orders/7?size=100000"));
    }

    @Test
    void answerOfAnotherRequestIsNotDelivered() throws Exception {
        target.misbehave(TargetFaults.every(1, AnswerFault.CROSS));
        HttpResponse<byte[]> answer = get("/orders/7");
        assertEquals(504, answer.statusCode());
        assertEquals(
                HeaderNames.UNKNOWN,
                answer.headers().firstValue(HeaderNames.OUTCOME).orElseThrow());
    }

    @Test
    void requestWithoutKeyDoesNotRun() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri("/orders/7")).build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(401, answer.statusCode());
        assertEquals(
                HeaderNames.NOT_RUN,
                answer.headers().firstValue(HeaderNames.OUTCOME).orElseThrow());
        assertEquals(0, target.runs().size());
    }

    private HttpResponse<byte[]> get(String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri(path)).header(HeaderNames.KEY, KEY).build();
        return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    private URI uri(String path) {
        return URI.create("http://" + edgeAddress + path);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
