package org.knapweedhatch.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on plain sockets that answers with the path, or misbehaves as the path says. */
final class ScriptedServer implements AutoCloseable {

    private final ServerSocket socket;
    private final AtomicInteger connections = new AtomicInteger();
    private final CountDownLatch late = new CountDownLatch(1);
    private final Queue<Socket> open = new ConcurrentLinkedQueue<>();

    private ScriptedServer(ServerSocket socket) {
        this.socket = socket;
    }

    static ScriptedServer start() throws IOException {
        ScriptedServer server = new ScriptedServer(new ServerSocket(0, 16, InetAddress.getLoopbackAddress()));
        daemon(server::accept);
        return server;
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    URI uri() {
        return URI.create("http://127.0.0.1:" + socket.getLocalPort());
    }

    int connections() {
        return connections.get();
    }

    /** Lets the answer to {@code /late} go. */
    void sendLate() {
        late.countDown();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = socket.accept();
                connections.incrementAndGet();
                open.add(client);
                daemon(() -> serve(client));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket client) {
        try (client) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String path = line.split(" ")[1];
                skipHeaders(in);
                if (!answer(path, client.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The client has gone, or the server was closed.
        }
    }

    private static void skipHeaders(BufferedReader in) throws IOException {
        String header = in.readLine();
        while (header != null && !header.isEmpty()) {
            header = in.readLine();
        }
    }

    private boolean answer(String path, OutputStream out) throws IOException, InterruptedException {
        switch (path) {
            case "/late" -> {
                late.await();
                write(out, whole("late"));
            }
            case "/short" -> write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            case "/garbage" -> write(out, "\u0001\u0002 nonsense\r\n\r\n");
            case "/cut" -> out.flush();
            default -> write(out, whole(path));
        }
        return path.length() == 2 || path.equals("/late");
    }

    private static String whole(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket client : open) {
            client.close();
        }
    }
}
