package org.knapweedhatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.Changes;
import org.knapweedhatch.platform.Listing;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.store.Wire;

/** The objects of a platform stand-in as the store shows them: by kind and name, listed in pages, watched. */
final class ObjectPages implements HttpHandler {

    /** Objects of one page of a list; small, so that tests turn pages. */
    static final int PAGE = 50;

    private static final String HOSTS = "hosts";

    /** Version that listed hosts show; nobody writes them by version. */
    private static final long LISTED_VERSION = 1;

    private static final Duration MAX_WAIT = Duration.ofSeconds(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final MemoryPlatform platform;

    ObjectPages(MemoryPlatform platform) {
        this.platform = platform;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException {
        exchange.addResponseCommitListener(responding -> {
            if (platform.era() > 0) {
                responding.getResponseHeaders().put(HttpString.tryFromString(Wire.ERA), platform.era());
            }
        });
        String path = exchange.getRelativePath();
        String[] parts = path.substring(path.startsWith("/") ? 1 : 0).split("/", 2);
        String kind = parts[0];
        if (kind.isEmpty()) {
            refuse(exchange, StatusCodes.BAD_REQUEST, "the kind is missing");
        } else if (parts.length == 1 || parts[1].isEmpty()) {
            kind(exchange, kind);
        } else {
            object(exchange, Wire.wholeName(kind, parts[1].replace("%2F", "/")));
        }
    }

    private void kind(HttpServerExchange exchange, String kind) throws IOException {
        String method = exchange.getRequestMethod().toString();
        if (method.equals("POST")) {
            create(exchange, kind);
        } else if (!method.equals("GET")) {
            refuse(exchange, StatusCodes.METHOD_NOT_ALLOWED, "a kind takes GET and POST");
        } else if (parameter(exchange, Wire.WATCH).isPresent()) {
            watch(exchange, kind);
        } else {
            Result<Listing> listing = kind.equals(HOSTS) ? hosts() : platform.listing(prefix(kind));
            answer(exchange, listing, found -> page(kind, found, parameter(exchange, Wire.AFTER)));
        }
    }

    /** Returns the hosts that register themselves, and those that a test has put on the host list. */
    private Result<Listing> hosts() {
        Result<List<StoredObject>> listed = platform.hosts()
                .then(hosts -> Result.ok(hosts.stream()
                        .map(host -> new StoredObject(
                                Wire.wholeName(HOSTS, host.host().name()), LISTED_VERSION, Wire.write(host)))
                        .toList()));
        return listed.then(found -> platform.listing(prefix(HOSTS)).then(registered -> {
            List<StoredObject> all = new ArrayList<>(found);
            all.addAll(registered.objects());
            return Result.ok(new Listing(all, registered.era(), registered.asOf()));
        }));
    }

    private static String prefix(String kind) {
        return Wire.wholeName(kind, "");
    }

    private static JsonNode page(String kind, Listing listing, Optional<String> after) {
        List<StoredObject> rest = listing.objects().stream()
                .filter(object -> Wire.kind(object.name()).equals(kind))
                .filter(object ->
                        after.isEmpty() || Wire.nameInKind(object.name()).compareTo(after.get()) > 0)
                .toList();
        Listing page = new Listing(rest.stream().limit(PAGE).toList(), listing.era(), listing.asOf());
        return Wire.listingNode(page, rest.size() > PAGE);
    }

    private void watch(HttpServerExchange exchange, String kind) throws IOException {
        long after = number(parameter(exchange, Wire.WATCH).orElse(""));
        Duration wait =
                Duration.ofMillis(number(parameter(exchange, Wire.WAIT_MS).orElse("0")));
        Duration shortened = wait.compareTo(MAX_WAIT) < 0 ? wait : MAX_WAIT;
        answer(exchange, platform.changes(prefix(kind), after, shortened), found -> events(kind, found));
    }

    private static JsonNode events(String kind, Changes changes) {
        return Wire.changesNode(new Changes(
                changes.changed().stream()
                        .filter(object -> Wire.kind(object.name()).equals(kind))
                        .toList(),
                changes.deleted().stream()
                        .filter(name -> Wire.kind(name).equals(kind))
                        .toList(),
                changes.era(),
                changes.asOf()));
    }

    private void create(HttpServerExchange exchange, String kind) throws IOException {
        Optional<StoredObject> written = written(exchange, kind);
        if (written.isEmpty()) {
            refuse(exchange, StatusCodes.BAD_REQUEST, "the object has no name");
        } else {
            StoredObject object = written.get();
            answer(exchange, platform.create(object.name(), object.body()), Wire::objectNode);
        }
    }

    private void object(HttpServerExchange exchange, String name) throws IOException {
        switch (exchange.getRequestMethod().toString()) {
            case "GET" -> answer(exchange, platform.read(name), Wire::objectNode);
            case "PUT" -> replace(exchange, name);
            case "DELETE" -> {
                long version = number(parameter(exchange, Wire.VERSION).orElse(""));
                answer(exchange, platform.delete(name, version), deleted -> Wire.deletedNode(name, deleted));
            }
            default -> refuse(exchange, StatusCodes.METHOD_NOT_ALLOWED, "an object takes GET, PUT and DELETE");
        }
    }

    private void replace(HttpServerExchange exchange, String name) throws IOException {
        Optional<StoredObject> written = written(exchange, Wire.kind(name));
        if (written.isEmpty()) {
            refuse(exchange, StatusCodes.BAD_REQUEST, "the object has no name");
            return;
        }
        StoredObject object = written.get();
        answer(exchange, platform.update(name, object.body(), object.version()), Wire::objectNode);
    }

    /** Reads a written object; its version is the one that the write expects, or -1 where it states none. */
    private static Optional<StoredObject> written(HttpServerExchange exchange, String kind) throws IOException {
        JsonNode tree;
        try {
            tree = Wire.tree(exchange.getInputStream().readAllBytes());
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            // Bytes that are no JSON name no object; the caller is told so.
            return Optional.empty();
        }
        return Wire.written(kind, tree);
    }

    /** Turns a result into the JSON of a page. */
    private interface Page<T> {
        JsonNode of(T value);
    }

    private static <T> void answer(HttpServerExchange exchange, Result<T> result, Page<T> page) throws IOException {
        if (exchange.isResponseStarted() || !exchange.getConnection().isOpen()) {
            return; // The client has gone while its call waited.
        }
        if (result.isOk()) {
            send(exchange, StatusCodes.OK, page.of(result.orThrow()));
            return;
        }
        PlatformError problem = problem(result);
        if (problem == PlatformError.UNKNOWN) {
            exchange.getConnection().close();
        } else {
            refuse(exchange, Wire.status(problem), result.fault().message());
        }
    }

    private static PlatformError problem(Result<?> result) {
        for (PlatformError problem : PlatformError.values()) {
            if (problem.matches(result.fault())) {
                return problem;
            }
        }
        return PlatformError.UNKNOWN;
    }

    static void refuse(HttpServerExchange exchange, int status, String detail) {
        send(exchange, status, JSON.createObjectNode().put("Error", detail));
    }

    private static void send(HttpServerExchange exchange, int status, JsonNode json) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(Wire.write(json)));
    }

    private static Optional<String> parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    /** Returns a whole number; -1, which no version has, where the text is none. */
    private static long number(String text) {
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : -1;
    }
}
