package org.knapweedhatch.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.http.HttpAnswer;
import org.knapweedhatch.http.HttpCall;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.world.Host;

/** Asks the system which hosts to use, keeps the answer for its time to live, and calls the best one that answers. */
final class Caller {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration LOOK_UP_TIMEOUT = Duration.ofSeconds(1);
    private static final int MOST_HOSTS = 4;

    private final HttpCaller http;
    private final List<Host> known;
    private final Map<Place, Kept> kept = new ConcurrentHashMap<>();

    private record Place(String clientIp, String team) {}

    private record Kept(List<String> addresses, long untilNanos) {}

    /** What came of a call: an answer, or that no host took it, or that its answer was lost. */
    record Outcome(Result<HttpAnswer> answer) {
        boolean neverSent() {
            return !answer.isOk() && answer.fault().step() == Step.CONNECT;
        }
    }

    Caller(HttpCaller http, List<Host> known) {
        this.http = http;
        this.known = known;
    }

    /** Calls the hosts in the order of the look-up until one of them takes the request. */
    Outcome call(String clientIp, String team, HttpCall template) {
        List<String> hosts = hosts(clientIp, team);
        Outcome last = new Outcome(Result.failed(Step.CONNECT, "", "no host is known"));
        for (String host : hosts.subList(0, Math.min(MOST_HOSTS, hosts.size()))) {
            URI uri = URI.create("http://" + host + template.uri().getRawPath()
                    + (template.uri().getRawQuery() == null
                            ? ""
                            : "?" + template.uri().getRawQuery()));
            last = new Outcome(http.call(
                    new HttpCall(template.method(), uri, template.headers(), template.body(), template.timeout())));
            if (!last.neverSent()) {
                return last;
            }
        }
        kept.remove(new Place(clientIp, team));
        return last;
    }

    private List<String> hosts(String clientIp, String team) {
        Place place = new Place(clientIp, team);
        Kept now = kept.get(place);
        if (now != null && now.untilNanos() - System.nanoTime() > 0) {
            return now.addresses();
        }
        Kept fresh = lookUp(clientIp, team);
        if (!fresh.addresses().isEmpty()) {
            kept.put(place, fresh);
            return fresh.addresses();
        }
        return now == null ? List.of() : now.addresses();
    }

    private Kept lookUp(String clientIp, String team) {
        int first = ThreadLocalRandom.current().nextInt(known.size());
        for (int i = 0; i < known.size(); i++) {
            Host host = known.get((first + i) % known.size());
            URI uri = URI.create("http://" + host.edge() + "/-/lookup?client=" + clientIp + "&team=" + team);
            Result<HttpAnswer> answer = http.call(HttpCall.get(uri).timeout(LOOK_UP_TIMEOUT));
            if (answer.isOk() && answer.orThrow().isSuccess()) {
                return parse(answer.orThrow().text());
            }
        }
        return new Kept(List.of(), System.nanoTime());
    }

    private static Kept parse(String json) {
        try {
            JsonNode root = JSON.readTree(json);
            List<String> addresses = new ArrayList<>();
            List<String> lower = new ArrayList<>();
            for (JsonNode host : root.path("hosts")) {
                boolean best = host.path("rank").asInt() == 0;
                (best ? addresses : lower).add(host.path("address").asText());
            }
            Collections.shuffle(addresses);
            addresses.addAll(lower);
            long ttl = Duration.ofSeconds(root.path("ttlSeconds").asLong()).toNanos();
            return new Kept(addresses, System.nanoTime() + ttl);
        } catch (JsonProcessingException e) {
            return new Kept(List.of(), System.nanoTime());
        }
    }
}
