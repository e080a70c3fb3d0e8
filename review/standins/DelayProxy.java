import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A loopback proxy that passes bytes on after a fixed delay, as a link between regions does. */
final class DelayProxy {

    private record Chunk(long dueNanos, byte[] bytes) {}

    private final ServerSocket listener;
    private final InetSocketAddress to;
    private final long delayNanos;

    DelayProxy(String ip, int port, InetSocketAddress to, long delayMs) throws IOException {
        listener = new ServerSocket(port, 128, InetAddress.getByName(ip));
        this.to = to;
        delayNanos = delayMs * 1_000_000;
        Threads.start("proxy", this::accept);
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = listener.accept();
            Threads.start("proxy-connection", () -> {
                Socket far = new Socket();
                Threads.sleep(2 * delayNanos / 1_000_000);
                far.connect(to, 1_000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                pass(near, far);
                pass(far, near);
            });
        }
    }

    private void pass(Socket from, Socket into) {
        BlockingQueue<Chunk> queue = new LinkedBlockingQueue<>();
        Threads.start("proxy-read", () -> {
            byte[] buffer = new byte[65_536];
            try {
                InputStream in = from.getInputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    queue.add(new Chunk(System.nanoTime() + delayNanos, Arrays.copyOf(buffer, count)));
                }
            } finally {
                queue.add(new Chunk(System.nanoTime() + delayNanos, new byte[0]));
            }
        });
        Threads.start("proxy-write", () -> {
            try (from; into) {
                for (Chunk chunk = queue.take(); chunk.bytes().length > 0; chunk = queue.take()) {
                    Threads.sleep((chunk.dueNanos() - System.nanoTime()) / 1_000_000);
                    into.getOutputStream().write(chunk.bytes());
                }
            }
        });
    }
}
