import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Part of the clients leave before the answers to their unsafe requests, in spells. After the last spell the others
 * must be answered as before, also those whose requests are in progress when the host gets SIGTERM.
 */
final class AbandonedAnswers {

    /** Unsafe and upload requests of the small deployment: 143 and 46.8 a second. */
    private static final int REQUESTS_PER_S = 190;

    /** Share of the clients that leave during a spell. */
    private static final double LEAVING_SHARE = 0.3;

    /** Half of the latency objective of the unsafe requests, after which a client leaves. */
    private static final long LEAVE_AFTER_MS = 200;

    private static final long SPELL_MS = 5_500;
    private static final int SPELLS = 7;
    private static final int WORK_MS = 480;
    private static final long DEADLINE_MS = 2_500;
    private static final int ANSWER_BYTES = 100_000;
    private static final int REQUEST_BYTES = 4_000;

    /** Time without leaving clients before SIGTERM; longer than StableWindow. */
    private static final long CALM_MS = Deployment.STABLE_WINDOW_MS + DEADLINE_MS + 1_000;

    private static final int STEADY_CLIENTS = 150;

    private final Record record;
    private final Deployment.Front front;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();
    private final List<String> lost = new ArrayList<>();
    private volatile long termMs = Long.MAX_VALUE;

    private AbandonedAnswers(Record record, Deployment.Front front) {
        this.record = record;
        this.front = front;
    }

    static boolean run(Path root, Record record) throws Exception {
        try (Deployment deployment = new Deployment(root, record, 500)) {
            for (int i = 1; i <= 12; i++) {
                deployment.target("i-00000" + (10 + i), "wuno96b", i % 2 == 0 ? "lima-cercado" : "arequipa-centro", 15);
            }
            deployment.configure(Cases.configuration(7, 2_000, 2_500));
            Deployment.Front front = deployment.front(1, "lima-cercado");
            deployment.awaitReady(front);
            Threads.sleep(Deployment.STABLE_WINDOW_MS);
            return new AbandonedAnswers(record, front).play(deployment);
        }
    }

    private boolean play(Deployment deployment) throws Exception {
        int perClientMs = STEADY_CLIENTS * 1000 / (int) (REQUESTS_PER_S * (1 - LEAVING_SHARE));
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STEADY_CLIENTS; i++) {
            long first = (long) i * perClientMs / STEADY_CLIENTS;
            clients.add(Threads.start("steady", () -> steady(first, perClientMs)));
        }
        for (int spell = 0; spell < SPELLS; spell++) {
            spell();
            say("after " + (spell + 1) + " spells");
        }
        int answeredBefore = answered.get();
        int failedBefore = failed.get();
        Threads.sleep(CALM_MS);
        say("no client has left for " + CALM_MS + " ms, in which " + (answered.get() - answeredBefore)
                + " requests were answered by a server and " + (failed.get() - failedBefore) + " got 502 or 504");
        termMs = record.millis();
        deployment.signal(front, "TERM");
        for (Thread client : clients) {
            client.join(10_000);
        }
        synchronized (lost) {
            lost.forEach(record::line);
            record.say(lost.size() + " requests were at a server when the host got SIGTERM, or came later, and got"
                    + " an answer of the host's own in place of the server's");
            return lost.isEmpty();
        }
    }

    private void spell() {
        long begin = record.millis();
        double everyMs = 1000 / (REQUESTS_PER_S * LEAVING_SHARE);
        for (int i = 1; record.millis() < begin + SPELL_MS; i++) {
            if (Cases.trouble()) {
                Threads.start("leaving", this::leave);
            }
            Threads.sleep(begin + (long) (i * everyMs) - record.millis());
        }
    }

    private void say(String when) {
        record.say(when + ": left " + left + ", answered " + answered + ", 502 or 504 " + failed + ", refused " + refused
                + ", unanswered " + unanswered);
    }

    /** Sends one unsafe request on a connection of its own, and leaves before its answer. */
    private void leave() {
        String id = Client.newId();
        try (Client client = new Client(front.edge())) {
            record.line("leaving client sends " + id);
            client.send("POST", path(), id, Cases.KEY, DEADLINE_MS, new byte[REQUEST_BYTES]);
            Threads.sleep(LEAVE_AFTER_MS);
            left.incrementAndGet();
        } catch (IOException e) {
            record.line("leaving client: " + e.getMessage());
        }
    }

    private static String path() {
        return "/puka111/2f?work=" + WORK_MS + "&bytes=" + ANSWER_BYTES;
    }

    /** Sends unsafe requests one after the other on a kept connection, until the host is about to stop. */
    private void steady(long firstMs, long everyMs) {
        Threads.sleep(firstMs);
        Client client = null;
        long next = record.millis();
        while (record.millis() < termMs) {
            String id = Client.newId();
            try {
                if (client == null) {
                    client = new Client(front.edge());
                    client.socket.setSoTimeout((int) DEADLINE_MS);
                }
                record.line("client sends " + id);
                client.send("POST", path(), id, Cases.KEY, DEADLINE_MS, new byte[REQUEST_BYTES]);
                Http.Message answer = client.read();
                if (answer == null) {
                    throw new IOException("connection closed");
                }
                received(id, answer);
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    client.close();
                    client = null;
                }
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet();
                record.line("client gets nothing until its deadline for " + id + ", runs " + record.runs(id));
                client.close();
                client = null;
            } catch (IOException e) {
                unanswered.incrementAndGet();
                record.line("client: " + e.getMessage() + " for " + id + ", runs " + record.runs(id));
                if (client != null) {
                    client.close();
                }
                client = null;
            }
            next += everyMs;
            Threads.sleep(Math.min(next, termMs) - record.millis());
        }
    }

    private void received(String id, Http.Message answer) {
        int status = answer.status();
        boolean fromServer = !answer.header("X-Knapweedhatch-Response-Signature").isEmpty();
        boolean ran = record.runs(id) > 0;
        record.line("client gets " + status + (fromServer ? " of a server" : " of the host") + " for " + id + ", runs "
                + record.runs(id));
        (status == 200 ? answered : status == 503 || status == 429 ? refused : failed).incrementAndGet();
        if (ran && !fromServer && record.millis() > termMs) {
            synchronized (lost) {
                lost.add("LOST: " + id + " runs at a server and gets " + status + " of the host "
                        + (record.millis() - termMs) + " ms after SIGTERM");
            }
        }
    }
}
