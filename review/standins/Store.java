import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's metadata store: objects by kind and name, pages, watches, conditional writes and one
 * revision counter. Loses nothing that it has acknowledged.
 */
final class Store {

    private record Item(String name, long revision, long created, Object spec, Object status) {}

    private record Event(String kind, String name, long revision, Item item) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final int pageSize;
    private final long answerMs;
    private long revision = 100;

    Store(String ip, int port, int pageSize, long answerMs) throws IOException {
        this.pageSize = pageSize;
        this.answerMs = answerMs;
        server = HttpServer.create(new InetSocketAddress(ip, port), 256);
        server.setExecutor(threads);
        server.createContext("/objects/", this::handle);
        server.start();
    }

    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }

    /** Creates or replaces an object; returns its revision. */
    synchronized long put(String kind, String name, Object spec) {
        Item old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        revision++;
        Item item = new Item(name, revision, old == null ? revision : old.created(), spec, null);
        kinds.get(kind).put(name, item);
        events.add(new Event(kind, name, revision, item));
        notifyAll();
        return revision;
    }

    /** Removes an object; returns the revision of its removal. */
    synchronized long remove(String kind, String name) {
        if (kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name) != null) {
            revision++;
            events.add(new Event(kind, name, revision, null));
            notifyAll();
        }
        return revision;
    }

    private static Map<String, Object> shown(Item item) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("Name", item.name());
        metadata.put("Revision", item.revision());
        metadata.put("Created", item.created());
        metadata.put("Finalizers", List.of());
        metadata.put("Deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("Metadata", metadata);
        object.put("Spec", item.spec());
        object.put("Status", item.status());
        return object;
    }

    private void handle(HttpExchange exchange) {
        try (exchange) {
            String[] path = exchange.getRequestURI().getRawPath().substring("/objects/".length()).split("/", 2);
            String kind = decoded(path[0]);
            String name = path.length > 1 ? decoded(path[1]) : "";
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Thread.sleep(answerMs);
            switch (exchange.getRequestMethod()) {
                case "GET" -> {
                    if (!name.isEmpty()) {
                        read(exchange, kind, name);
                    } else if (query.containsKey("Watch")) {
                        watch(exchange, kind, query);
                    } else {
                        list(exchange, kind, query.getOrDefault("after", ""));
                    }
                }
                case "POST" -> create(exchange, kind, Json.object(Json.parse(body)));
                case "PUT" -> replace(exchange, kind, name, Json.object(Json.parse(body)));
                case "DELETE" -> delete(exchange, kind, name, query.get("Revision"));
                default -> answer(exchange, 405, Map.of());
            }
        } catch (IOException e) {
            // The caller has gone while its call waited.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void read(HttpExchange exchange, String kind, String name) throws IOException {
        Item item;
        synchronized (this) {
            item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        }
        answer(exchange, item == null ? 404 : 200, item == null ? Map.of() : shown(item));
    }

    private void list(HttpExchange exchange, String kind, String after) throws IOException {
        Map<String, Object> page = new LinkedHashMap<>();
        synchronized (this) {
            List<Item> rest = new ArrayList<>(
                    kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values());
            page.put("items", rest.stream().limit(pageSize).map(Store::shown).toList());
            page.put("More", rest.size() > pageSize);
            page.put("AsOf", revision);
        }
        answer(exchange, 200, page);
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query)
            throws IOException, InterruptedException {
        long from = Long.parseLong(query.get("Watch"));
        long until = System.nanoTime() + Math.min(30_000, Long.parseLong(query.getOrDefault("WaitMs", "0"))) * 1_000_000;
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Event> found = since(kind, from);
            for (long left = until - System.nanoTime(); found.isEmpty() && left > 0; left = until - System.nanoTime()) {
                wait(Math.max(1, left / 1_000_000));
                found = since(kind, from);
            }
            List<Object> shown = new ArrayList<>();
            for (Event event : found) {
                Map<String, Object> one = new LinkedHashMap<>();
                one.put("Deleted", event.item() == null);
                Map<String, Object> gone = Map.of("Metadata", Map.of("Name", event.name(), "Revision", event.revision()));
                one.put("Object", event.item() == null ? gone : shown(event.item()));
                shown.add(one);
            }
            answer.put("events", shown);
            answer.put("AsOf", revision);
        }
        answer(exchange, 200, answer);
    }

    private List<Event> since(String kind, long from) {
        return events.stream()
                .filter(event -> event.kind().equals(kind) && event.revision() > from)
                .toList();
    }

    private void create(HttpExchange exchange, String kind, Map<String, Object> object) throws IOException {
        String name = String.valueOf(Json.object(object.get("Metadata")).get("Name"));
        Map<String, Object> shown;
        int status;
        synchronized (this) {
            Item old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
            status = old == null ? 200 : 409;
            if (old == null) {
                put(kind, name, object.get("Spec"));
            }
            shown = shown(kinds.get(kind).get(name));
        }
        answer(exchange, status, shown);
    }

    private void replace(HttpExchange exchange, String kind, String name, Map<String, Object> object)
            throws IOException {
        Object expected = Json.object(object.get("Metadata")).get("Revision");
        Map<String, Object> shown;
        int status;
        synchronized (this) {
            Item old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
            boolean matches = old != null
                    && (expected == null || String.valueOf(old.revision()).equals(((Json.Num) expected).text()));
            status = old == null ? 404 : matches ? 200 : 409;
            if (matches && !Json.write(old.spec()).equals(Json.write(object.get("Spec")))) {
                put(kind, name, object.get("Spec"));
            }
            shown = old == null ? Map.of() : shown(kinds.get(kind).get(name));
        }
        answer(exchange, status, shown);
    }

    private void delete(HttpExchange exchange, String kind, String name, String expected) throws IOException {
        Map<String, Object> shown = Map.of();
        int status;
        synchronized (this) {
            Item old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
            boolean matches = old != null && (expected == null || expected.equals(String.valueOf(old.revision())));
            status = old == null ? 404 : matches ? 200 : 409;
            if (old != null) {
                shown = shown(old);
            }
            if (matches) {
                remove(kind, name);
            }
        }
        answer(exchange, status, shown);
    }

    private static void answer(HttpExchange exchange, int status, Object json) throws IOException {
        byte[] body = Json.write(json).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(decoded(part.substring(0, equals)), decoded(part.substring(equals + 1)));
        }
        return query;
    }

    private static String decoded(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
