package org.knapweedhatch.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.function.BooleanSupplier;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** Hosts on free ports of the loopback address, and waiting for what other threads do. */
public final class Hosts {

    private static final long PATIENCE_NANOS = 20_000_000_000L;

    private Hosts() {}

    public static Host local(String name, String region, String domain) {
        return new Host(
                name, region, domain, new Address("127.0.0.1", freePort()), new Address("127.0.0.1", freePort()));
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until a condition holds, or fails. */
    public static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + PATIENCE_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never came true: " + what);
            }
            Thread.onSpinWait();
            sleep();
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(5);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
    }
}
