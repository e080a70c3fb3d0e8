package org.knapweedhatch.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.platform.wire.ExampleEntries;
import org.knapweedhatch.world.Address;

/** Clients that send more than a host can hold, each on a connection that stays open until the crowd is closed. */
final class Crowd implements AutoCloseable {

    /** Stands for the status of a client whose connection is open without a response. */
    static final int PENDING = -1;

    private static final int PIECE_BYTES = 16_384;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int SMALL_BUFFER_BYTES = 4_096;

    /** Forms the head of a request without the empty line at its end. */
    interface Heads {
        String head(String method, String name, String id);

        /** Returns the heads of requests that run once at most, with a key, on the users' platform. */
        static Heads of(HeaderScheme scheme, String key) {
            return (method, name, id) -> method + " " + ExampleEntries.ONCE_PATH + name + " HTTP/1.1\r\nHost: "
                    + ExampleEntries.HOST + "\r\n" + scheme.key() + ": " + key + "\r\n" + scheme.requestId() + ": " + id
                    + "\r\n";
        }
    }

    private final Address address;
    private final Heads heads;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<Thread> senders = new ArrayList<>();

    Crowd(Address address, Heads heads) {
        this.address = address;
        this.heads = heads;
    }

    /** Opens connections that send nothing; those that cannot be opened are left out. */
    void connectSilently(int count) {
        for (int i = 0; i < count; i++) {
            try {
                connect();
            } catch (IOException e) {
                // A host may turn connections away.
            }
        }
    }

    /** Sends bodies of a size at once, all of them but {@code missing} bytes. */
    void upload(int count, int bytes, int missing, boolean chunked) {
        byte[] piece = new byte[PIECE_BYTES];
        String framing = chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + bytes + "\r\n";
        run("POST", count, "upload", framing, "\r\n", socket -> {
            OutputStream out = socket.getOutputStream();
            for (int left = bytes - missing; left > 0; ) {
                int next = Math.min(left, PIECE_BYTES);
                if (chunked) {
                    out.write((Integer.toHexString(next) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                }
                out.write(piece, 0, next);
                if (chunked) {
                    out.write('\r');
                    out.write('\n');
                }
                left -= next;
            }
            if (chunked && missing == 0) {
                out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
        });
    }

    /** Sends bodies of a size whose last bytes come one by one, with a pause before each. */
    void trickle(int count, int bytes, int lastBytes, long pauseMs) {
        run("POST", count, "trickle", "Content-Length: " + bytes + "\r\n", "\r\n", socket -> {
            OutputStream out = socket.getOutputStream();
            out.write(new byte[bytes - lastBytes]);
            // A client that goes on after a response might lose it to a reset.
            for (int i = 0; i < lastBytes && socket.getInputStream().available() == 0; i++) {
                Threads.sleep(pauseMs);
                out.write(0);
            }
        });
    }

    /** Asks for large responses and reads none of them. */
    void askWithoutReading(int count) {
        run("GET", count, "large", "", "\r\n", socket -> {});
    }

    /** Sends request heads behind each other without end, and reads no response. */
    void pipeline(int count, int maxHeads) {
        byte[] requests =
                "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n".repeat(64).getBytes(StandardCharsets.ISO_8859_1);
        run("GET", count, "x", "", "\r\n", socket -> {
            for (int sent = 0; sent < maxHeads; sent += 64) {
                socket.getOutputStream().write(requests);
            }
        });
    }

    /** Sends heads with as many short headers as fit in a legal head, without their end. */
    void sendUnfinishedHeads(int count) {
        sendUnfinishedHeads(count, "a:\r\n".repeat(3_500) + "a:");
    }

    /** Sends heads with other headers, without their end. */
    void sendUnfinishedHeads(int count, String headers) {
        run("GET", count, "x", headers, "", socket -> {});
    }

    private void run(String method, int count, String name, String headers, String end, Sender sender) {
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            senders.add(Threads.start("crowd", () -> {
                try {
                    Socket socket = connect();
                    String head = heads.head(method, name, id) + headers + end;
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                    sender.send(socket);
                } catch (IOException e) {
                    // The host may refuse a request of the crowd or close its connection.
                }
            }));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(address.ip(), address.port()), CONNECT_TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    /** Waits until all clients have sent what they send or wait for the host, up to a time. */
    void settle(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        for (Thread sender : senders) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return;
            }
            try {
                sender.join(left);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Closes every other connection. */
    void leaveByHalf() throws IOException {
        for (int i = 0; i < sockets.size(); i += 2) {
            sockets.get(i).close();
        }
    }

    /** Returns the statuses that the clients have been sent so far, 0 for a closed connection, else -1. */
    List<Integer> statuses() {
        List<Integer> statuses = new ArrayList<>();
        for (Socket socket : sockets) {
            try {
                socket.setSoTimeout(1);
                HttpText response = HttpText.read(socket.getInputStream());
                statuses.add(response == null ? 0 : response.status());
            } catch (SocketTimeoutException e) {
                statuses.add(PENDING);
            } catch (IOException e) {
                statuses.add(0);
            }
        }
        return statuses;
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private interface Sender {
        void send(Socket socket) throws IOException;
    }
}
