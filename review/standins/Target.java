import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a back end. The query of a request says how long it works ({@code work}, milliseconds) and how many bytes
 * it answers ({@code bytes}). It echoes the attempt id, signs its answers, sheds with Not-Executed when full, answers
 * 421 to requests meant for another instance, and drops a request whose connection closes.
 */
final class Target {

    private static final int QUEUE_PER_SLOT = 3;

    final String id;
    final String service;
    final String zone;
    private final int slots;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final Record record;
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    /** Bytes that follow a part of the answers at once, as {@link #extraShare} says. */
    volatile String extraBytes = "";

    /** Share of the answers that extra bytes follow. */
    volatile double extraShare;

    private volatile boolean ended;
    private volatile boolean leaving;
    private int sequence;

    Target(String id, String service, String zone, String ip, int slots, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.record = record;
        free = new Semaphore(slots, true);
        listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("target", this::accept);
    }

    /** Returns the entry that the server writes to the store. */
    synchronized Map<String, Object> entry(boolean draining) {
        Map<String, Object> info = new LinkedHashMap<>();
        info.put("Service", service);
        info.put("Version", "v1");
        info.put("Zone", zone);
        info.put("Slots", slots);
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("State", draining ? "draining" : "ready");
        status.put("Seq", ++sequence);
        status.put("ColdRemaining", "0ms");
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("Address", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort());
        entry.put("born", born);
        entry.put("Info", info);
        entry.put("Status", status);
        return entry;
    }

    /** From now on answers carry {@code Connection: close}. */
    void leaving() {
        leaving = true;
    }

    /** Ends the process: open connections break, new ones are refused. */
    void end() {
        ended = true;
        close(listener);
        open.forEach(Target::close);
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Threads.start("target-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            for (Http.Message request = Http.message(in, false); request != null; request = Http.message(in, false)) {
                if (!handle(request, socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The caller closed the connection, or this server ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private boolean handle(Http.Message request, Socket socket) throws IOException, InterruptedException {
        String attempt = request.header("X-Knapweedhatch-Attempt-Id");
        String expected = request.header("X-Knapweedhatch-Expect-Instance");
        String path = request.startLine().split(" ")[1];
        if (!expected.isEmpty() && !expected.equals(id)) {
            return answer(socket, "421 Misdirected Request", attempt, "X-Knapweedhatch-Instance-Id: " + id + "\r\n", 0);
        }
        if (path.equals("/health")) {
            String status = leaving ? "503 Service Unavailable" : "200 OK";
            return answer(socket, status, attempt, "X-Knapweedhatch-Instance-Id: " + id + "\r\n", 0);
        }
        if (present.incrementAndGet() > slots * (1 + QUEUE_PER_SLOT)) {
            present.decrementAndGet();
            return answer(socket, "503 Service Unavailable", attempt, "X-Knapweedhatch-Not-Executed: 1\r\n", 0);
        }
        try {
            long deadline = number(request.header("X-Knapweedhatch-Deadline-Ms"), 30_000);
            if (!free.tryAcquire(deadline, TimeUnit.MILLISECONDS)) {
                return answer(socket, "503 Service Unavailable", attempt, "X-Knapweedhatch-Not-Executed: 1\r\n", 0);
            }
            try {
                record.line("server " + id + " runs " + attempt + " " + request.startLine()
                        + " tenant=" + request.header("X-Knapweedhatch-Tenant"));
                record.ran(id, attempt);
                Thread.sleep(parameter(path, "work", 20));
            } finally {
                free.release();
            }
        } finally {
            present.decrementAndGet();
        }
        if (ended) {
            return false;
        }
        String load = "X-Knapweedhatch-Server-Load: " + Math.min(present.get(), slots) + ","
                + Math.max(0, present.get() - slots) + "," + slots + "\r\n";
        record.line("server " + id + " answers 200 to " + attempt);
        return answer(socket, "200 OK", attempt, load + "X-Knapweedhatch-Response-Signature: " + signature(attempt) + "\r\n",
                (int) parameter(path, "bytes", 400));
    }

    /** Returns the signature of the answer to an attempt. */
    static String signature(String attempt) {
        return "s." + Integer.toHexString(attempt.hashCode());
    }

    private boolean answer(Socket socket, String status, String attempt, String headers, int bytes) throws IOException {
        String connection = leaving ? "Connection: close\r\n" : "Keep-Alive: timeout=10\r\n";
        String head = "HTTP/1.1 " + status + "\r\nX-Knapweedhatch-Attempt-Id: " + attempt + "\r\n" + headers + connection
                + "Content-Length: " + bytes + "\r\n\r\n";
        byte[] first = head.getBytes(StandardCharsets.US_ASCII);
        boolean spoilt = status.startsWith("200") && ThreadLocalRandom.current().nextDouble() < extraShare;
        byte[] last = spoilt ? extraBytes.getBytes(StandardCharsets.US_ASCII) : new byte[0];
        byte[] all = new byte[first.length + bytes + last.length];
        System.arraycopy(first, 0, all, 0, first.length);
        Arrays.fill(all, first.length, first.length + bytes, (byte) 'b');
        System.arraycopy(last, 0, all, first.length + bytes, last.length);
        if (spoilt) {
            record.line("server " + id + " sends extra bytes behind its answer to " + attempt);
        }
        OutputStream out = socket.getOutputStream();
        out.write(all);
        out.flush();
        return !leaving;
    }

    private static long parameter(String path, String name, long usual) {
        int at = path.indexOf(name + "=");
        return at < 0 ? usual : number(path.substring(at + name.length() + 1).split("&")[0], usual);
    }

    private static long number(String text, long usual) {
        return text.matches("\\d{1,9}") ? Long.parseLong(text) : usual;
    }

    private static void close(java.io.Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
