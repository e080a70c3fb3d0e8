package org.knapweedhatch.front;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.world.Address;

/** A target on plain sockets that records requests; the last path segment selects how it responds. */
final class ScriptedTarget implements AutoCloseable {

    private static final HeaderScheme HEADERS = HeaderScheme.defaults();

    /** The beginning of a response that says that the request did not run. */
    private static final String BROKEN_OFF_REFUSAL = "HTTP/1.1 503 Busy\r\n" + HEADERS.notRun() + ": 1";

    /** A received request; header names are in lower case. */
    record Received(String method, String path, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** More than the socket buffers between host and caller hold. */
    static final int LARGE_BODY_BYTES = 12 << 20;

    private static final String REFUSAL_WITHOUT_ID =
            "HTTP/1.1 503 Busy\r\n" + HEADERS.notRun() + ": 1\r\nContent-Length: 0\r\n\r\n";

    private final ServerSocket listener;
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final CountDownLatch held = new CountDownLatch(1);
    private volatile boolean shedding;
    private volatile long delayMs;
    private final Semaphore readPermit = new Semaphore(1);
    private final AtomicInteger hostDisconnects = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

    private ScriptedTarget(ServerSocket listener) {
        this.listener = listener;
    }

    static ScriptedTarget start() throws IOException {
        ScriptedTarget target = new ScriptedTarget(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        daemon(target::accept);
        return target;
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "scripted-target");
        thread.setDaemon(true);
        thread.start();
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    List<Received> received() {
        return received;
    }

    int connections() {
        return connections.get();
    }

    long openConnections() {
        return open.stream().filter(socket -> !socket.isClosed()).count();
    }

    /** Returns how many connections were closed by the host while a request was held. */
    int hostDisconnects() {
        return hostDisconnects.get();
    }

    void shed(boolean all) {
        shedding = all;
    }

    /** Delays each response by so many milliseconds. */
    void delay(long millis) {
        delayMs = millis;
    }

    /** Stops reading from connections until {@link #read()}. */
    void pauseReads() {
        readPermit.acquireUninterruptibly();
    }

    void read() {
        readPermit.release();
    }

    /** Answers held requests. */
    void release() {
        held.countDown();
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = listener.accept();
                connections.incrementAndGet();
                open.add(caller);
                daemon(() -> serve(caller));
            }
        } catch (IOException e) {
            // The target was closed.
        }
    }

    private void serve(Socket caller) {
        try (caller) {
            InputStream in = caller.getInputStream();
            readPermit.acquire();
            readPermit.release();
            for (Received request = read(in); request != null; request = read(in)) {
                received.add(request);
                if (!answer(request, caller)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The host disconnected, or the target was closed.
        }
    }

    private static Received read(InputStream in) throws IOException {
        String head = readHead(in);
        if (head.isEmpty()) {
            return null;
        }
        BufferedReader lines = new BufferedReader(new InputStreamReader(
                new java.io.ByteArrayInputStream(head.getBytes(StandardCharsets.ISO_8859_1)),
                StandardCharsets.ISO_8859_1));
        String[] first = lines.readLine().split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String line = lines.readLine(); line != null && !line.isEmpty(); line = lines.readLine()) {
            int colon = line.indexOf(':');
            headers.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim(),
                    (one, other) -> one + "," + other);
        }
        // A target that answers early leaves the body unread.
        boolean early = first[1].contains("/early-");
        int length = early ? 0 : Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Received(
                first[0], first[1], headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0) {
            head.write(next);
            if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
            next = in.read();
        }
        return "";
    }

    /** Responds to a request; returns whether the connection stays open. */
    private boolean answer(Received request, Socket caller) throws IOException, InterruptedException {
        OutputStream out = caller.getOutputStream();
        String id = request.header(HEADERS.requestId());
        String script = request.path().substring(request.path().lastIndexOf('/') + 1);
        if (delayMs > 0) {
            Thread.sleep(delayMs);
        }
        if (shedding) {
            write(out, "HTTP/1.1 503 Busy\r\n" + HEADERS.notRun() + ": 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (script.startsWith("cut-at-")) {
            String answer = script.endsWith("-unframed") ? unframed(id) : whole(200, id, "hello");
            write(out, answer.substring(0, Integer.parseInt(script.split("-")[2])));
            return false;
        }
        if (script.startsWith("status-")) {
            write(out, whole(200, id, "odd").replaceFirst(" 200 ", " " + script.substring("status-".length()) + " "));
            return true;
        }
        switch (script) {
            case "switching" -> write(out, "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole(200, id, "whole"));
            case "chunked-reset" -> {
                write(out, chunkedPart(id));
                return reset(caller);
            }
            case "long-reset" -> {
                write(out, whole(200, id, "half").replaceFirst("Content-Length: 4", "Content-Length: 100"));
                return reset(caller);
            }
            case "early-unframed-reset" -> {
                write(out, unframed(id));
                return reset(caller);
            }
            case "early-chunked-reset" -> {
                write(out, chunkedPart(id));
                return reset(caller);
            }
            case "early-long-reset" -> {
                write(out, whole(200, id, "half").replaceFirst("Content-Length: 4", "Content-Length: 100"));
                return reset(caller);
            }
            case "early-unframed-end" -> {
                write(out, unframed(id));
                caller.shutdownOutput();
                // The host sees the end of the response while it still writes the request.
                Thread.sleep(100);
                caller.getInputStream().transferTo(OutputStream.nullOutputStream());
                return false;
            }
            case "early-whole" -> {
                write(out, whole(200, id, "whole"));
                // The host may have sent all of the body before it reads the response; then it goes on here.
                readRest(caller.getInputStream(), Integer.parseInt(request.header("content-length")));
            }
            case "hold" -> hold(caller, out, id, request);
            case "wait" -> {
                Thread.sleep(300);
                write(out, whole(200, id, request.path()));
            }
            case "error-then-shed" -> {
                write(out, timesReceived(request.path()) == 1 ? whole(500, id, "failed") : refusal(id));
            }
            case "error-then-drop" -> {
                if (timesReceived(request.path()) > 1) {
                    return false;
                }
                write(out, whole(500, id, "failed"));
            }
            case "four-figures" -> write(out, withLoad(whole(200, id, "whole"), "2,1,5,250"));
            case "bad-load" -> write(out, withLoad(whole(200, id, "whole"), "busy"));
            case "error" -> write(out, whole(500, id, "failed"));
            case "misdirected" -> write(out, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
            case "twice" -> write(out, whole(200, id, "first") + whole(200, id, "second"));
            case "extra-head" -> write(out, whole(200, id, "whole") + BROKEN_OFF_REFUSAL);
            case "merged-head" -> write(out, BROKEN_OFF_REFUSAL + whole(200, id, "whole"));
            case "merged-reason" -> write(out, "HTTP/1.1 503 Bu" + whole(200, id, "whole"));
            case "merged-type" -> write(out, "HTTP/1.1 500 Error\r\nContent-Type: text/html" + whole(200, id, "whole"));
            case "merged-version" -> write(out, "HTTP" + whole(200, id, "whole"));
            case "two-ids" ->
                write(
                        out,
                        "HTTP/1.1 503 Busy\r\n" + HEADERS.requestId() + ": an-earlier-id\r\n" + HEADERS.notRun()
                                + ": 1\r\n" + whole(200, id, "whole").replaceFirst("HTTP/1.1 200 S\r\n", ""));
            case "refuse" -> write(out, refusal(id));
            case "refuse-nameless" -> write(out, REFUSAL_WITHOUT_ID);
            case "after-refusal" -> write(out, refusal("id-1") + whole(200, id, "ran"));
            case "after-nameless-refusal" -> write(out, REFUSAL_WITHOUT_ID + whole(200, id, "ran"));
            case "unavailable" -> write(out, whole(503, id, "ran"));
            case "limited" -> write(out, whole(429, id, "ran"));
            case "timed-out" -> write(out, whole(408, id, "ran"));
            case "late" -> {
                write(out, whole(200, "an-earlier-id", "not for you") + whole(200, id, "for you"));
            }
            case "cut" -> {
                write(
                        out,
                        "HTTP/1.1 200 OK\r\n" + HEADERS.requestId() + ": " + id
                                + "\r\nContent-Length: 100\r\n\r\nhalf");
                return false;
            }
            case "unframed" -> {
                write(out, "HTTP/1.1 200 OK\r\n" + HEADERS.requestId() + ": " + id + "\r\n\r\nto the end");
                return false;
            }
            case "unframed-reset" -> {
                write(out, "HTTP/1.1 200 OK\r\n" + HEADERS.requestId() + ": " + id + "\r\n\r\nnot to the end");
                Thread.sleep(50);
                caller.setSoLinger(true, 0);
                return false;
            }
            case "endless-head" -> writeEndlessly(out, "HTTP/1.1 200 OK\r\nX-Long: ", "a");
            case "endless-line" -> writeEndlessly(out, "HTTP", "/");
            case "endless-blank" -> writeEndlessly(out, "", "\r\n");
            case "endless-body" ->
                writeEndlessly(out, "HTTP/1.1 200 OK\r\n" + HEADERS.requestId() + ": " + id + "\r\n\r\n", "a");
            case "endless-late" ->
                writeEndlessly(out, "HTTP/1.1 200 OK\r\n" + HEADERS.requestId() + ": an-earlier-id\r\n\r\n", "a");
            case "endless-informing" -> writeEndlessly(out, "", "HTTP/1.1 102 Processing\r\n\r\n");
            case "endless-after" -> {
                write(out, whole(200, id, "whole"));
                Thread.sleep(50);
                writeEndlessly(out, "", "\r\n");
            }
            case "large-answer" -> write(out, whole(200, id, "a".repeat(LARGE_BODY_BYTES)));
            case "garbage" -> {
                write(out, "\u0001\u0002 this is no answer\r\n\r\n");
                return false;
            }
            case "drop" -> {
                return false;
            }
            case "closes" -> {
                write(out, whole(200, id, "bye").replaceFirst("\r\n", "\r\nConnection: close\r\n"));
                return false;
            }
            default -> write(out, whole(200, id, request.method() + " " + request.path() + " " + request.body()));
        }
        return true;
    }

    /** Resets a connection a moment after the bytes written last, so that they arrive before. */
    private static boolean reset(Socket caller) throws IOException, InterruptedException {
        Thread.sleep(50);
        caller.setSoLinger(true, 0);
        return false;
    }

    private static String chunkedPart(String id) {
        return whole(200, id, "4\r\nhalf\r\n").replaceFirst("Content-Length: \\d+", "Transfer-Encoding: chunked");
    }

    /** Keeps what follows a head, up to a length; also the bytes before a reset. */
    private void readRest(InputStream in, int length) throws IOException {
        byte[] part = new byte[8_192];
        int left = length;
        while (left > 0) {
            int count = in.read(part, 0, Math.min(left, part.length));
            if (count < 0) {
                return;
            }
            rest.write(part, 0, count);
            left -= count;
        }
    }

    /** Returns the bytes that followed the head of a request that was answered early. */
    byte[] rest() {
        return rest.toByteArray();
    }

    private long timesReceived(String path) {
        return received.stream().filter(request -> request.path().equals(path)).count();
    }

    /** Returns a response whose body ends with the connection. */
    static String unframed(String id) {
        return whole(200, id, "hello").replaceFirst("Content-Length: \\d+\r\n", "");
    }

    private static String refusal(String id) {
        return "HTTP/1.1 503 Busy\r\n" + HEADERS.requestId() + ": " + id + "\r\n" + HEADERS.notRun()
                + ": 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** Writes until the host closes the connection. */
    private static void writeEndlessly(OutputStream out, String begin, String more) throws IOException {
        write(out, begin);
        while (true) {
            write(out, more.repeat(16_384 / more.length()));
        }
    }

    private void hold(Socket caller, OutputStream out, String id, Received request)
            throws IOException, InterruptedException {
        caller.setSoTimeout(20);
        while (held.getCount() > 0) {
            try {
                if (caller.getInputStream().read() < 0) {
                    hostDisconnects.incrementAndGet();
                    throw new IOException("the host disconnected");
                }
            } catch (java.net.SocketTimeoutException e) {
                // No input: the host still waits.
            } catch (SocketException e) {
                hostDisconnects.incrementAndGet();
                throw e;
            }
        }
        caller.setSoTimeout(0);
        write(out, whole(200, id, request.path()));
    }

    static String whole(int status, String id, String body) {
        return "HTTP/1.1 " + status + " S\r\n" + HEADERS.requestId() + ": " + id + "\r\n" + HEADERS.signature()
                + ": signed\r\n" + HEADERS.load() + ": 1,0,5\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String withLoad(String response, String load) {
        return response.replaceFirst(HEADERS.load() + ": [^\r]*", HEADERS.load() + ": " + load);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket caller : open) {
            caller.close();
        }
    }
}
