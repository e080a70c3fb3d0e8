import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.io.IOException;

/**
 * Servers leave while a host starts and reads the list of servers, which takes two pages. Later than {@code Drain}
 * after the store has accepted that they leave, no request of that host may reach them.
 */
final class PagedListing {

    /** Objects of one page of a list. */
    private static final int PAGE = 500;

    /** Servers of the two services that the clients use, and of two others. */
    private static final int SERVERS = 48;

    private static final int OTHER_SERVERS = 480;

    /** One way between regions. */
    private static final long REGION_MS = 35;

    /** Servers that leave, one after the other. */
    private static final int LEAVING = 8;

    private static final long LEAVING_GAP_MS = 60;

    /** How long servers go on serving after the store's answer. */
    private static final long SERVES_ON_MS = 16_000;

    /** Attempts that ran at a server and got 502. */
    private static final Queue<String> lostWork = new ConcurrentLinkedQueue<>();

    private PagedListing() {}

    static boolean run(Path root, Record record) throws Exception {
        try (Deployment deployment = new Deployment(root, record, PAGE)) {
            List<Target> leaving = new ArrayList<>();
            for (int i = 0; i < SERVERS + OTHER_SERVERS; i++) {
                String zone = List.of("lima-cercado", "arequipa-centro", "trujillo-centro").get(i % 3);
                List<String> services = i < SERVERS ? List.of("huvo11a", "wuno96b") : List.of("kafi81c", "lovo22d");
                Target target = deployment.target(String.format("i-%03x", 256 + i), services.get(i % 2), zone, 9);
                if (i < SERVERS && zone.equals("trujillo-centro") && leaving.size() < LEAVING) {
                    leaving.add(target);
                }
            }
            deployment.configure(Cases.configuration(7, 2_000, 2_500));
            new DelayProxy(deployment.ip(8), 8682, new InetSocketAddress(deployment.ip(7), 8682), REGION_MS);
            Deployment.Front lima = deployment.front(1, "lima-cercado");
            deployment.awaitReady(lima);
            Deployment.Front first = deployment.front(2, "trujillo-centro", deployment.ip(8));
            deployment.awaitReady(first);
            Threads.sleep(5_000);

            // Planned work: the host of the other region is stopped and started, and servers are taken away.
            Map<String, Long> goneMs = new ConcurrentHashMap<>();
            deployment.signal(first, "TERM");
            first.process().waitFor();
            AtomicBoolean begun = new AtomicBoolean();
            Threads.start("scale-in", () -> {
                while (!begun.get()) {
                    Threads.sleep(1);
                }
                for (int i = 0; i < LEAVING; i++) {
                    leave(deployment, record, leaving.get(i), i % 4 < 2, goneMs);
                    Threads.sleep(LEAVING_GAP_MS);
                }
            });
            deployment.store.pageListener = (kind, after, more) -> {
                if (kind.equals("servers")) {
                    record.line("the store reads a page of servers after '" + after + "', more " + more);
                    if (more && Cases.trouble()) {
                        begun.set(true);
                    }
                }
            };
            Deployment.Front second = deployment.front(2, "trujillo-centro", deployment.ip(8));
            deployment.awaitReady(second);
            long inTouchMs = record.millis() + Deployment.STABLE_WINDOW_MS;
            AtomicInteger bad = new AtomicInteger();
            Threads.sleep(Deployment.STABLE_WINDOW_MS);
            record.line(second.name() + " has been running for StableWindow");
            List<Thread> clients = new ArrayList<>();
            long until = inTouchMs + 14_000;
            for (int i = 0; i < 16; i++) {
                boolean safe = i % 2 == 0;
                clients.add(Threads.start("client", () -> send(second, record, safe, until)));
            }
            for (Thread client : clients) {
                client.join(20_000);
            }
            Map<String, Integer> late = new HashMap<>();
            for (Record.Run run : record.allRuns()) {
                Long acknowledged = goneMs.get(run.server());
                if (acknowledged != null && run.atMs() > acknowledged + Deployment.DRAIN_MS && run.atMs() >= inTouchMs) {
                    late.merge(run.server(), 1, Integer::sum);
                }
            }
            late.forEach((server, count) -> record.say("DRAIN: " + count + " requests reach " + server + " later than "
                    + Deployment.DRAIN_MS + " ms after the store acknowledged at " + goneMs.get(server)
                    + " ms that it leaves"));
            record.line(deployment.log(second).lines()
                    .filter(line -> goneMs.keySet().stream().anyMatch(server -> line.contains("\"" + server + "\"")))
                    .filter(line -> line.contains("\"event\":\"target\""))
                    .reduce("log of the host on these servers:", (a, b) -> a + "\n" + b));
            lostWork.stream().filter(id -> record.runs(id) > 0).forEach(id -> record.line("the work of " + id
                    + " was cut off by the end of its server"));
            return late.isEmpty();
        }
    }

    /** A server leaves: it says so in its entry, or its entry is removed at once; it goes on serving for some time. */
    private static void leave(
            Deployment deployment, Record record, Target target, boolean reports, Map<String, Long> goneMs) {
        if (reports) {
            deployment.store.put("servers", target.id, target.entry(true));
        } else {
            deployment.store.remove("servers", target.id);
        }
        target.leaving();
        goneMs.put(target.id, record.millis());
        record.line("the store acknowledges that " + target.id + (reports ? " is draining" : " is gone"));
        Threads.start("leaving", () -> {
            Threads.sleep(SERVES_ON_MS);
            target.end();
            deployment.store.remove("servers", target.id);
            record.line(target.id + " has ended");
        });
    }

    private static void send(Deployment.Front front, Record record, boolean safe, long until) {
        while (record.millis() < until) {
            String id = Client.newId();
            try (Client client = new Client(front.edge())) {
                client.socket.setSoTimeout(2_500);
                record.line("client sends " + id);
                client.send(safe ? "GET" : "POST", (safe ? "/leny950/" : "/puka111/") + "2f?work=900", id, Cases.KEY,
                        2_000, new byte[safe ? 0 : 300]);
                Http.Message answer = client.read();
                record.line("client gets " + (answer == null ? "a closed connection" : answer.status()) + " for " + id);
                if (answer != null && answer.status() == 502) {
                    lostWork.add(id);
                }
            } catch (IOException e) {
                record.line("client: " + e.getMessage() + " for " + id);
            }
            Threads.sleep(20);
        }
    }
}
