import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A host gets SIGTERM while clients keep sending further safe requests before the first has been answered. */
final class PipelinedStop {

    private static final int CLIENTS = 6;
    private static final int WORK_MS = 700;
    private static final long SEND_EVERY_MS = 300;
    private static final long DEADLINE_MS = 2_000;

    /** The Ttl of the directory's answer, which some clients keep three times as long. */
    private static final long KEPT_MS = 3 * 2_000;

    /** A request whose answer is awaited; times are milliseconds of the record. */
    private record Sent(String id, long atMs) {}

    private PipelinedStop() {}

    static boolean run(Path root, Record record) throws Exception {
        try (Deployment deployment = new Deployment(root, record, 50)) {
            for (int i = 1; i <= 4; i++) {
                deployment.target("i-000000" + i, "huvo11a", i % 2 == 0 ? "lima-cercado" : "arequipa-centro", 9);
            }
            deployment.configure(Cases.configuration(7, 2_000, 2_500));
            Deployment.Front stopped = deployment.front(1, "lima-cercado");
            Deployment.Front other = deployment.front(2, "arequipa-centro");
            deployment.awaitReady(stopped);
            deployment.awaitReady(other);
            Threads.sleep(5_000);

            List<String> lost = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            long[] termMs = {Long.MAX_VALUE};
            long lookedUpMs = record.millis() + 3_000;
            for (int i = 0; i < CLIENTS; i++) {
                Client client = new Client(stopped.edge());
                Queue<Sent> waiting = new ConcurrentLinkedQueue<>();
                clients.add(Threads.start("reader", () -> read(client, waiting, record, lost, termMs)));
                long first = i * SEND_EVERY_MS / CLIENTS;
                Threads.start("sender", () -> send(client, waiting, record, first, lookedUpMs + KEPT_MS));
            }
            Threads.sleep(lookedUpMs - record.millis());
            record.line("the clients keep the directory's answer of now for " + KEPT_MS + " ms");
            if (Cases.trouble()) {
                termMs[0] = record.millis();
                deployment.signal(stopped, "TERM");
            }
            for (Thread client : clients) {
                client.join(15_000);
            }
            record.line("exit of " + stopped.name() + ": " + !stopped.process().isAlive());
            synchronized (lost) {
                lost.forEach(record::say);
                return lost.isEmpty();
            }
        }
    }

    private static void send(Client client, Queue<Sent> waiting, Record record, long firstMs, long untilMs) {
        Threads.sleep(firstMs);
        try {
            while (record.millis() < untilMs) {
                String id = Client.newId();
                Sent sent = new Sent(id, record.millis());
                waiting.add(sent);
                record.line("client sends " + id);
                client.send("GET", "/leny950/2f?work=" + WORK_MS, id, Cases.KEY, DEADLINE_MS, new byte[0]);
                Threads.sleep(SEND_EVERY_MS);
            }
            Threads.sleep(DEADLINE_MS);
            client.close();
        } catch (IOException e) {
            record.line("client cannot send: " + e.getMessage());
        }
    }

    private static void read(Client client, Queue<Sent> waiting, Record record, List<String> lost, long[] termMs) {
        String why = "the connection ended";
        try {
            for (Http.Message answer = client.read(); answer != null; answer = client.read()) {
                Sent sent = waiting.poll();
                record.line("client gets " + answer.status() + " for " + sent.id() + " "
                        + answer.header("Connection"));
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    waiting.clear();
                    client.close();
                    return;
                }
            }
        } catch (IOException e) {
            why = "the connection broke: " + e.getMessage();
        }
        long now = record.millis();
        for (Sent sent : waiting) {
            boolean timeLeft = now - sent.atMs() < DEADLINE_MS;
            if (record.runs(sent.id()) > 0 && timeLeft) {
                synchronized (lost) {
                    lost.add("LOST: " + sent.id() + " was sent " + (sent.atMs() - termMs[0])
                            + " ms after SIGTERM and runs at a server; " + why + " " + (now - termMs[0])
                            + " ms after SIGTERM without an answer");
                }
            }
        }
    }
}
