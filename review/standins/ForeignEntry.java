import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Another writer leaves an entry among the servers; then servers are taken away and others are added. */
final class ForeignEntry {

    /** How long servers go on serving after the store's answer. */
    private static final long SERVES_ON_MS = 6_000;

    private static final int SERVERS = 12;
    private static final int LEAVING = 4;

    /** Attempts that ran at a server and got 502. */
    private static final Queue<String> CUT_OFF = new ConcurrentLinkedQueue<>();

    private ForeignEntry() {}

    static boolean run(Path root, Record record) throws Exception {
        try (Deployment deployment = new Deployment(root, record, 500)) {
            for (int i = 0; i < SERVERS; i++) {
                deployment.target("i-00000" + (10 + i), i % 2 == 0 ? "huvo11a" : "wuno96b",
                        i % 4 < 2 ? "lima-cercado" : "arequipa-centro", 9);
            }
            deployment.configure(Cases.configuration(7, 2_000, 2_500));
            Deployment.Front first = deployment.front(1, "lima-cercado");
            Deployment.Front second = deployment.front(2, "arequipa-centro");
            deployment.awaitReady(first);
            deployment.awaitReady(second);
            Threads.sleep(Deployment.STABLE_WINDOW_MS);
            long until = record.millis() + 16_000;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                Deployment.Front front = i % 2 == 0 ? first : second;
                boolean safe = i % 4 < 2;
                clients.add(Threads.start("client", () -> send(front, record, safe, until)));
            }
            Threads.sleep(1_000);
            if (Cases.trouble()) {
                deployment.store.put("servers", "a-note", entry());
                record.line("another writer creates servers/a-note");
            }
            Threads.sleep(1_000);
            Map<String, Long> goneMs = new ConcurrentHashMap<>();
            for (Target target : deployment.targets.subList(0, LEAVING)) {
                deployment.store.put("servers", target.id, target.entry(true));
                target.leaving();
                goneMs.put(target.id, record.millis());
                record.line("the store acknowledges that " + target.id + " is draining");
                Threads.start("leaving", () -> {
                    Threads.sleep(SERVES_ON_MS);
                    target.end();
                    record.line(target.id + " has ended");
                    deployment.store.remove("servers", target.id);
                });
            }
            for (Thread client : clients) {
                client.join(30_000);
            }
            Map<String, Integer> late = new HashMap<>();
            for (Record.Run run : record.allRuns()) {
                Long acknowledged = goneMs.get(run.server());
                if (acknowledged != null && run.atMs() > acknowledged + Deployment.DRAIN_MS) {
                    late.merge(run.server(), 1, Integer::sum);
                }
            }
            late.forEach((server, count) -> record.say("DRAIN: " + count + " requests reach " + server + " later than "
                    + Deployment.DRAIN_MS + " ms after the store acknowledged that it leaves"));
            long cut = CUT_OFF.stream().filter(id -> record.runs(id) > 0).count();
            record.say(cut + " requests ran at a server and got 502");
            return late.isEmpty();
        }
    }

    /** An entry of valid JSON whose fields are missing or of another type; {@code Info} is an integer of 4,096 bits. */
    private static Object entry() {
        return Json.parse("{\"Info\":" + BigInteger.ONE.shiftLeft(4_096).subtract(BigInteger.ONE) + "}");
    }

    private static void send(Deployment.Front front, Record record, boolean safe, long until) {
        while (record.millis() < until) {
            String id = Client.newId();
            try (Client client = new Client(front.edge())) {
                client.socket.setSoTimeout(2_500);
                record.line("client sends " + id);
                client.send(safe ? "GET" : "POST", (safe ? "/leny950/" : "/puka111/") + "2f?work=400", id, Cases.KEY,
                        2_000, new byte[safe ? 0 : 300]);
                Http.Message answer = client.read();
                record.line("client gets " + (answer == null ? "a closed connection" : answer.status()) + " for " + id);
                if (answer != null && answer.status() == 502) {
                    CUT_OFF.add(id);
                }
            } catch (IOException e) {
                record.line("client: " + e.getMessage() + " for " + id);
            }
            Threads.sleep(20);
        }
    }
}
