package org.knapweedhatch.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.world.Address;

/**
 * A target that works as long as the query of a request says, queues requests beyond its slots, refuses those beyond
 * its queue, and drops a request whose connection closes.
 */
final class WorkingTarget implements AutoCloseable {

    private static final int QUEUE = 18;
    private static final int POLL_MS = 10;
    private static final long NANOS_PER_MS = 1_000_000;

    private final String name;
    private final HeaderScheme scheme;
    private final Map<String, CallerAttempt> attempts;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final AtomicInteger present = new AtomicInteger();
    private final int capacity;

    WorkingTarget(String name, int slots, HeaderScheme scheme, Map<String, CallerAttempt> attempts) throws IOException {
        this.name = name;
        this.scheme = scheme;
        this.attempts = attempts;
        this.slots = new Semaphore(slots, true);
        capacity = slots + QUEUE;
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Threads.start("target", this::accept);
    }

    String name() {
        return name;
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = listener.accept();
                Threads.start("target-connection", () -> serve(caller));
            }
        } catch (IOException e) {
            // The target was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (HttpText request = HttpText.read(in); request != null; request = HttpText.read(in)) {
                answer(request, socket, in);
            }
        } catch (IOException e) {
            // The host closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(HttpText request, Socket socket, InputStream in) throws IOException, InterruptedException {
        String id = request.header(scheme.requestId());
        Optional<CallerAttempt> known = Optional.ofNullable(attempts.get(id));
        known.ifPresent(CallerAttempt::arrived);
        if (present.incrementAndGet() > capacity) {
            present.decrementAndGet();
            write(socket, 503, id, scheme.notRun() + ": 1\r\n");
            return;
        }
        try {
            long deadline = System.nanoTime() + Long.parseLong(request.header(scheme.deadlineMs())) * NANOS_PER_MS;
            while (!slots.tryAcquire()) {
                await(in, socket);
                if (System.nanoTime() > deadline) {
                    write(socket, 503, id, scheme.notRun() + ": 1\r\n");
                    return;
                }
            }
            try {
                known.ifPresent(attempt -> attempt.started(name, System.nanoTime()));
                long end = System.nanoTime() + HttpText.parameter(request.path(), "work", 20) * NANOS_PER_MS;
                while (System.nanoTime() < Math.min(end, deadline)) {
                    await(in, socket);
                }
                known.ifPresent(attempt -> attempt.finished(name, true, System.nanoTime()));
                write(socket, end <= deadline ? 200 : 504, id, scheme.signature() + ": s\r\n");
            } finally {
                slots.release();
                known.ifPresent(attempt -> attempt.finished(name, false, System.nanoTime()));
            }
        } finally {
            present.decrementAndGet();
        }
    }

    /** Waits a little; throws {@link IOException} if the host has closed the connection. */
    private static void await(InputStream in, Socket socket) throws IOException {
        socket.setSoTimeout(POLL_MS);
        in.mark(1);
        try {
            if (in.read() < 0) {
                throw new IOException("the host disconnected");
            }
            in.reset();
            throw new IOException("the host sent a request behind another");
        } catch (SocketTimeoutException e) {
            // The host still waits.
        } finally {
            socket.setSoTimeout(0);
        }
    }

    private void write(Socket socket, int status, String id, String headers) throws IOException {
        String body = "from " + name;
        String text = "HTTP/1.1 " + status + " S\r\n" + scheme.requestId() + ": " + id + "\r\n" + headers
                + scheme.load()
                + ": " + present.get() + ",0," + slots.availablePermits() + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
