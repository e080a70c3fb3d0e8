package org.knapweedhatch.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.platform.wire.ExampleEntries;

/** A caller that uses a connection until its host closes it, then another host; it never asks who is leaving. */
final class SoakCaller {

    private static final AtomicLong IDS = new AtomicLong();
    private static final int CONNECT_MS = 500;

    /** A connection may be opened ahead of its first request by this time at most. */
    private static final int MAX_AHEAD_MS = 240;

    /** What a caller sends, and how. */
    enum Habit {
        /** Long look-ups one after the other, of which some outlast a stop. */
        LONG(true, 1, 0) {
            @Override
            long workMs(SplittableRandom random) {
                return random.nextInt(8) == 0 ? random.nextLong(4_500, 9_800) : random.nextLong(1_500, 4_800);
            }
        },
        /** Requests that run once at most, one after the other. */
        ONCE(false, 1, 0) {
            @Override
            long workMs(SplittableRandom random) {
                return random.nextLong(100, 1_800);
            }
        },
        /** Requests with a body that takes a while to send, each on a connection of its own. */
        UPLOAD(false, 1, 60_000) {
            @Override
            long workMs(SplittableRandom random) {
                return random.nextLong(100, 1_500);
            }
        },
        /** Look-ups sent without waiting for the response before. */
        PIPELINED(true, 4, 0) {
            @Override
            long workMs(SplittableRandom random) {
                return random.nextLong(200, 2_500);
            }
        };

        private final boolean mayRepeat;
        private final int inProgress;
        private final int bodyBytes;

        Habit(boolean mayRepeat, int inProgress, int bodyBytes) {
            this.mayRepeat = mayRepeat;
            this.inProgress = inProgress;
            this.bodyBytes = bodyBytes;
        }

        abstract long workMs(SplittableRandom random);
    }

    private final Habit habit;
    private final SplittableRandom random;
    private final List<HostProcess> hosts;
    private final Map<String, CallerAttempt> attempts;
    private final HeaderScheme scheme;
    private final Duration timeout;
    private final BooleanSupplier goesOn;

    SoakCaller(
            Habit habit,
            SplittableRandom random,
            List<HostProcess> hosts,
            Map<String, CallerAttempt> attempts,
            HeaderScheme scheme,
            Duration timeout,
            BooleanSupplier goesOn) {
        this.habit = habit;
        this.random = random;
        this.hosts = hosts;
        this.attempts = attempts;
        this.scheme = scheme;
        this.timeout = timeout;
        this.goesOn = goesOn;
    }

    void run() {
        while (goesOn.getAsBoolean()) {
            HostProcess host = hosts.get(random.nextInt(hosts.size()));
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(
                        new InetSocketAddress(host.edge().ip(), host.edge().port()), CONNECT_MS);
                useConnection(host, socket);
            } catch (IOException e) {
                Threads.sleep(random.nextLong(20, 80));
            }
        }
    }

    private void useConnection(HostProcess host, Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Deque<CallerAttempt> waiting = new ArrayDeque<>();
        if (random.nextBoolean()) {
            Threads.sleep(random.nextLong(MAX_AHEAD_MS));
        }
        try {
            boolean open = true;
            while (open && goesOn.getAsBoolean() || !waiting.isEmpty()) {
                if (open && goesOn.getAsBoolean() && waiting.size() < habit.inProgress) {
                    send(host, socket.getOutputStream(), waiting);
                    if (waiting.size() < habit.inProgress) {
                        Threads.sleep(random.nextLong(20, 200));
                        continue;
                    }
                }
                HttpText response = HttpText.read(in);
                if (response == null) {
                    return;
                }
                CallerAttempt answered = waiting.pollFirst();
                if (!response.header(scheme.requestId()).equals(answered.id())) {
                    throw new IllegalStateException("the response to another request came for " + answered.id());
                }
                answered.ended(response.status(), System.nanoTime());
                if (response.closes()) {
                    // What lies behind such a response counts as not read and is sent elsewhere.
                    waiting.forEach(behind -> attempts.remove(behind.id()));
                    waiting.clear();
                    return;
                }
                if (habit.bodyBytes > 0) {
                    open = false;
                }
            }
        } finally {
            long now = System.nanoTime();
            waiting.forEach(left -> left.ended(0, now));
        }
    }

    private void send(HostProcess host, OutputStream out, Deque<CallerAttempt> waiting) throws IOException {
        CallerAttempt next = new CallerAttempt("soak-" + IDS.incrementAndGet(), host.name(), habit.mayRepeat, timeout);
        attempts.put(next.id(), next);
        String path = habit.mayRepeat ? ExampleEntries.REPEATABLE_PATH : ExampleEntries.ONCE_PATH;
        String head = (habit.mayRepeat ? "GET " : "POST ") + path + "x?work=" + habit.workMs(random)
                + " HTTP/1.1\r\nHost: "
                + ExampleEntries.HOST + "\r\n" + scheme.key() + ": " + ExampleEntries.KEY + "\r\n" + scheme.requestId()
                + ": " + next.id() + "\r\n" + scheme.deadlineMs() + ": 15000\r\n"
                + (habit.mayRepeat ? "" : "Content-Length: " + habit.bodyBytes + "\r\n") + "\r\n";
        waiting.addLast(next);
        next.sending(System.nanoTime());
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        int parts = 4;
        for (int i = 0; i < parts && habit.bodyBytes > 0; i++) {
            out.write(new byte[habit.bodyBytes / parts]);
            Threads.sleep(random.nextLong(1, 100));
        }
        next.sent(System.nanoTime());
    }
}
