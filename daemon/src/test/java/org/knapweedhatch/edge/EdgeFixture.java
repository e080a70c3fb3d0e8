package org.knapweedhatch.edge;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.standin.target.Run;
import org.knapweedhatch.standin.target.TargetStandIn;
import org.knapweedhatch.world.Access;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Service;
import org.knapweedhatch.world.Target;
import org.knapweedhatch.world.Team;

/** One host alone, with some targets of one service, on sockets. */
final class EdgeFixture implements AutoCloseable {

    static final String KEY = "secret-key-1";
    private static final int TICK_MS = 5;

    private final HttpClient client = HttpClient.newHttpClient();
    private final Address edgeAddress = new Address("127.0.0.1", freePort());
    private final List<TargetStandIn> targets = new ArrayList<>();
    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor();
    private final Edge edge;

    EdgeFixture(int targetCount, Duration timeout, RateLimit contract) {
        Configuration.Builder builder = Configuration.builder()
                .region(new Region("lima"))
                .domain(new FailureDomain("lima-a", "lima"))
                .service(new Service("orders", timeout))
                .route(new Route("orders", "/orders", "orders", Access.KEYED))
                .route(new Route("open", "/orders/open", "orders", Access.OPEN))
                .team(new Team("crew-1", contract))
                .key(new ApiKey("k1", "crew-1", Digests.sha256(KEY)));
        for (int i = 0; i < targetCount; i++) {
            Target target = new Target("t" + i, "orders", "lima-a", new Address("127.0.0.1", freePort()), 3, 330);
            builder.target(target);
            targets.add(TargetStandIn.of(target, Duration.ofMillis(1)).start());
        }
        TestHost host = TestHost.serving(edgeAddress, builder.build(1));
        ticker.scheduleAtFixedRate(host::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        edge = Edge.listen(edgeAddress, Admin.builder().build(), Callers.of(host, host.requests()), host.time());
    }

    static EdgeFixture withTargets(int count) {
        return new EdgeFixture(count, Duration.ofSeconds(2), new RateLimit(10_000, 1_000));
    }

    List<TargetStandIn> targets() {
        return targets;
    }

    List<Run> runs() {
        return targets.stream().flatMap(target -> target.runs().stream()).toList();
    }

    HttpResponse<byte[]> get(String path) throws IOException, InterruptedException {
        return send(request(path).GET().build());
    }

    HttpResponse<byte[]> post(String path, byte[] body) throws IOException, InterruptedException {
        return send(
                request(path).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build());
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + edgeAddress + path))
                .header(HeaderNames.KEY, KEY);
    }

    HttpResponse<byte[]> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    static String outcome(HttpResponse<?> answer) {
        return answer.headers().firstValue(HeaderNames.OUTCOME).orElse("");
    }

    /** Sends raw bytes and returns all that comes back until the connection is closed. */
    String raw(String request) throws IOException {
        try (Socket socket = new Socket(edgeAddress.ip(), edgeAddress.port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    @Override
    public void close() {
        ticker.shutdownNow();
        edge.stop();
        targets.forEach(TargetStandIn::stop);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
