package org.knapweedhatch.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.http.HttpAnswer;
import org.knapweedhatch.http.HttpCall;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.standin.target.Answers;
import org.knapweedhatch.world.ClientBlock;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Route;
import org.knapweedhatch.world.Team;

/** Open-loop traffic of all teams: each call is due at a time of its own, whatever became of earlier ones. */
final class Traffic {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CALLER_THREADS = 400;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);
    private static final int MOST_TRIES = 3;
    private static final int MAX_ANSWER_BYTES = 20_000;
    private static final int UPLOAD_BYTES = 100_000;

    private final Configuration configuration;
    private final Caller caller;
    private final double load;
    private final long seed;
    private final Queue<Call> ended = new ConcurrentLinkedQueue<>();
    private final ExecutorService threads = Executors.newFixedThreadPool(CALLER_THREADS);
    private long startNanos;

    Traffic(Configuration configuration, Caller caller, double load, long seed) {
        this.configuration = configuration;
        this.caller = caller;
        this.load = load;
        this.seed = seed;
    }

    /** One call to be made. */
    private record Planned(long dueNanos, Team team, ClientBlock block, Route route, int number, int size) {}

    /** Sends traffic for a time and returns what became of every call. */
    List<Call> run(Duration length) throws InterruptedException {
        List<Planned> plan = plan(length);
        startNanos = System.nanoTime();
        for (Planned planned : plan) {
            long wait = startNanos + planned.dueNanos() - System.nanoTime();
            if (wait > 0) {
                LockSupport.parkNanos(wait);
            }
            threads.execute(() -> ended.add(make(planned)));
        }
        threads.shutdown();
        threads.awaitTermination(CALL_TIMEOUT.multipliedBy(MOST_TRIES).toMillis(), TimeUnit.MILLISECONDS);
        return new ArrayList<>(ended);
    }

    /** Returns the time since the traffic began. */
    Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private List<Planned> plan(Duration length) {
        Random random = new Random(seed);
        List<ClientBlock> blocks = configuration.clientBlocks().values().stream()
                .sorted((one, other) -> one.cidr().compareTo(other.cidr()))
                .toList();
        List<Route> routes = configuration.routes().values().stream()
                .filter(route -> route.access().needsKey())
                .sorted((one, other) -> one.name().compareTo(other.name()))
                .toList();
        List<Planned> plan = new ArrayList<>();
        for (Team team : configuration.teams().values()) {
            double rate = team.rateLimit().rate() * load;
            for (double at = gap(random, rate); at < length.toSeconds(); at += gap(random, rate)) {
                ClientBlock block = blocks.get(random.nextInt(blocks.size()));
                Route route = routes.get(random.nextInt(routes.size()));
                int size = random.nextInt(MAX_ANSWER_BYTES);
                plan.add(new Planned((long) (at * 1e9), team, block, route, plan.size(), size));
            }
        }
        plan.sort((one, other) -> Long.compare(one.dueNanos(), other.dueNanos()));
        return plan;
    }

    private static double gap(Random random, double rate) {
        return -Math.log(1 - random.nextDouble()) / rate;
    }

    private Call make(Planned planned) {
        boolean write = isWrite(planned.route().service());
        String path = planned.route().path() + "/" + planned.number() + (write ? "" : "?size=" + planned.size());
        String key = write ? "operation-" + planned.number() : "";
        byte[] body = write ? upload(planned) : new byte[0];
        HttpCall template = HttpCall.of(write ? "POST" : "GET", URI.create("http://127.0.0.1:1" + path), body)
                .header(HeaderNames.KEY, "demo-key-" + planned.team().name())
                .timeout(CALL_TIMEOUT);
        if (write) {
            template = template.header(HeaderNames.IDEMPOTENCY_KEY, key);
        }
        byte[] expected =
                write ? Digests.sha256(body).getBytes(StandardCharsets.US_ASCII) : Answers.body(path, planned.size());
        String clientIp =
                planned.block().cidr().substring(0, planned.block().cidr().indexOf('/'));
        Judged judged = tryAll(clientIp, planned, template, expected);
        Duration latency = Duration.ofNanos(System.nanoTime() - startNanos - planned.dueNanos());
        return new Call(
                planned.team().name(),
                planned.block().region(),
                planned.route().service(),
                path,
                key,
                judged.ending(),
                judged.reason(),
                latency,
                elapsed());
    }

    private record Judged(Call.Ending ending, String reason) {
        boolean mayHaveRun() {
            return ending == Call.Ending.UNKNOWN || ending == Call.Ending.BROKEN;
        }
    }

    private Judged tryAll(String clientIp, Planned planned, HttpCall template, byte[] expected) {
        Judged judged = new Judged(Call.Ending.UNREACHED, "");
        boolean mayHaveRun = false;
        for (int i = 0; i < MOST_TRIES; i++) {
            Caller.Outcome outcome = caller.call(clientIp, planned.team().name(), template);
            judged = judge(outcome, expected);
            if (mayHaveRun && judged.ending() == Call.Ending.NOT_RUN) {
                return new Judged(Call.Ending.UNKNOWN, judged.reason());
            }
            mayHaveRun |= judged.mayHaveRun();
            boolean again = judged.ending() == Call.Ending.UNREACHED
                    || judged.mayHaveRun() && template.headers().containsKey(HeaderNames.IDEMPOTENCY_KEY);
            if (!again) {
                return judged;
            }
        }
        return judged;
    }

    private static Judged judge(Caller.Outcome outcome, byte[] expected) {
        if (outcome.neverSent()) {
            return new Judged(Call.Ending.UNREACHED, outcome.answer().fault().message());
        }
        if (!outcome.answer().isOk()) {
            return new Judged(Call.Ending.BROKEN, outcome.answer().fault().message());
        }
        HttpAnswer answer = outcome.answer().orThrow();
        if (answer.isSuccess()) {
            boolean own = Arrays.equals(answer.body(), expected);
            return new Judged(own ? Call.Ending.ANSWERED : Call.Ending.WRONG, "");
        }
        return refusal(answer);
    }

    private static Judged refusal(HttpAnswer answer) {
        try {
            JsonNode problem = JSON.readTree(answer.body());
            boolean notRun = HeaderNames.NOT_RUN.equals(problem.path("outcome").asText());
            String type = problem.path("type").asText();
            String reason = type.substring(type.lastIndexOf(':') + 1);
            return new Judged(notRun ? Call.Ending.NOT_RUN : Call.Ending.UNKNOWN, reason);
        } catch (IOException e) {
            return new Judged(Call.Ending.WRONG, "status " + answer.status());
        }
    }

    private static boolean isWrite(String service) {
        return List.of("closures", "photographs", "bookings").contains(service);
    }

    private static byte[] upload(Planned planned) {
        boolean large = planned.route().service().equals("photographs");
        return Answers.body("upload-" + planned.number(), large ? UPLOAD_BYTES : 200);
    }
}
