import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of a client. */
final class Client implements AutoCloseable {

    private static final AtomicLong IDS = new AtomicLong();
    private static final long RUN = System.nanoTime() & 0xffffffffL;

    final Socket socket;
    final InputStream in;

    Client(InetSocketAddress edge, int receiveBuffer) throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(edge, 1_000);
        in = new BufferedInputStream(socket.getInputStream(), 2_048);
    }

    Client(InetSocketAddress edge) throws IOException {
        this(edge, 0);
    }

    static String newId() {
        return String.format("%08x%08x", RUN, IDS.incrementAndGet());
    }

    /** Sends a request without waiting for its answer. */
    void send(String method, String path, String id, String key, long deadlineMs, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: hulo84.example\r\nX-Knapweedhatch-Attempt-Id: " + id
                + "\r\nX-Knapweedhatch-Deadline-Ms: " + deadlineMs + "\r\nX-Knapweedhatch-Key: " + key + "\r\n"
                + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] first = head.getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        socket.getOutputStream().write(all);
    }

    /** Reads the next answer; null at the end of the connection. */
    Http.Message read() throws IOException {
        return Http.message(in, true);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
