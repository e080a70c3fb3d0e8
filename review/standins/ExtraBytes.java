import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers send the broken-off begin of a second answer behind a few of their answers. */
final class ExtraBytes {

    private static final int CLIENTS = 24;
    private static final int WORK_MS = 100;
    private static final long DEADLINE_MS = 2_500;
    private static final long TROUBLE_MS = 5_000;

    /** Share of the servers that are faulty, and share of their answers. */
    private static final double SERVER_SHARE = 0.6;

    private static final double ANSWER_SHARE = 0.03;

    /** A second answer that the server begins after it has already answered, and breaks off. */
    private static final String EXTRA = "HTTP/1.1 503 Service Unavailable\r\nX-Knapweedhatch-Not-Executed: 1";

    private final Record record;
    private final Deployment.Front front;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refusedAndRun = new AtomicInteger();
    private final List<String> twice = new ArrayList<>();

    private ExtraBytes(Record record, Deployment.Front front) {
        this.record = record;
        this.front = front;
    }

    static boolean run(Path root, Record record) throws Exception {
        try (Deployment deployment = new Deployment(root, record, 500)) {
            for (int i = 0; i < 10; i++) {
                deployment.target("i-00000" + (10 + i), "wuno96b", i % 2 == 0 ? "lima-cercado" : "arequipa-centro", 9);
            }
            deployment.configure(Cases.configuration(7, 2_000, 2_500));
            Deployment.Front front = deployment.front(1, "lima-cercado");
            deployment.awaitReady(front);
            Threads.sleep(Deployment.STABLE_WINDOW_MS);
            return new ExtraBytes(record, front).play(deployment.targets);
        }
    }

    private boolean play(List<Target> targets) throws InterruptedException {
        long until = record.millis() + 3 * TROUBLE_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Threads.start("client", () -> send(until)));
        }
        Threads.sleep(TROUBLE_MS);
        if (Cases.trouble()) {
            record.line("some servers begin to send extra bytes");
            targets.stream().limit((long) (targets.size() * SERVER_SHARE)).forEach(target -> {
                target.extraBytes = EXTRA;
                target.extraShare = ANSWER_SHARE;
            });
            Threads.sleep(TROUBLE_MS);
            targets.forEach(target -> target.extraShare = 0);
            record.line("no server sends extra bytes any more");
        }
        for (Thread client : clients) {
            client.join(30_000);
        }
        synchronized (twice) {
            twice.forEach(record::say);
            record.say(answered + " answers of servers; " + twice.size() + " unsafe requests ran more than once, "
                    + refusedAndRun + " were answered 503 and had run");
            return twice.isEmpty();
        }
    }

    /** Sends unsafe requests one after the other on a kept connection. */
    private void send(long untilMs) {
        Client client = null;
        while (record.millis() < untilMs) {
            String id = Client.newId();
            try {
                if (client == null) {
                    client = new Client(front.edge());
                    client.socket.setSoTimeout((int) DEADLINE_MS);
                }
                record.line("client sends " + id);
                client.send("POST", "/puka111/2f?work=" + WORK_MS, id, Cases.KEY, DEADLINE_MS, new byte[300]);
                Http.Message answer = client.read();
                if (answer == null) {
                    throw new IOException("connection closed");
                }
                received(id, answer);
            } catch (IOException e) {
                record.line("client: " + e.getMessage() + " for " + id);
                if (client != null) {
                    client.close();
                }
                client = null;
            }
            Threads.sleep(30);
        }
    }

    private void received(String id, Http.Message answer) {
        String signature = answer.header("X-Knapweedhatch-Response-Signature");
        int runs = record.runs(id);
        record.line("client gets " + answer.status() + " for " + id + (signature.isEmpty() ? "" : " with a signature")
                + ", runs " + runs);
        if (!signature.isEmpty()) {
            answered.incrementAndGet();
        }
        if (runs > 1) {
            synchronized (twice) {
                twice.add("TWICE: " + id + " is unsafe and ran " + runs + " times; the client gets " + answer.status());
            }
        }
        if (answer.status() == 503 && runs > 0) {
            refusedAndRun.incrementAndGet();
            record.line("REFUSED: " + id + " is unsafe, ran and is answered 503");
        }
    }
}
