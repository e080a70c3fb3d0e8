package org.knapweedhatch.edge;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.knapweedhatch.world.Address;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * The warm connections from this host to one address.
 *
 * <p>A connection belongs to the I/O thread that opened it and carries one request at a time. One whose request did not
 * end cleanly is closed, never kept. Idle ones are closed after {@link #MAX_IDLE_SECONDS}, before the other side does.
 */
final class Connections {

    private static final long MAX_IDLE_SECONDS = 20;

    private final Address address;
    private final URI uri;
    private final int max;
    private final AtomicInteger open = new AtomicInteger();
    private final Map<XnioIoThread, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

    private Connections(Address address, int max) {
        this.address = address;
        this.uri = URI.create("http://" + address);
        this.max = max;
    }

    /** Creates a pool of at most {@code max} connections. */
    static Connections to(Address address, int max) {
        return new Connections(address, max);
    }

    /** Returns the address that the connections lead to. */
    Address address() {
        return address;
    }

    /** Returns how many connections are open or being opened. */
    int open() {
        return open.get();
    }

    /**
     * Hands a connection of the calling I/O thread to {@code callback}: the idle one used last, else a new one. Must be
     * called on {@code thread}. Fails where the cap on connections is reached.
     */
    void acquire(XnioIoThread thread, ByteBufferPool buffers, ClientCallback<ClientConnection> callback) {
        ClientConnection warm = takeIdle(thread);
        if (warm != null) {
            callback.completed(warm);
            return;
        }
        if (open.incrementAndGet() > max) {
            open.decrementAndGet();
            callback.failed(new IOException("all " + max + " connections are in use"));
            return;
        }
        connect(thread, buffers, callback);
    }

    private ClientConnection takeIdle(XnioIoThread thread) {
        Deque<ClientConnection> own = idle.get(thread);
        while (own != null && !own.isEmpty()) {
            ClientConnection last = own.pollLast();
            if (last != null && last.isOpen()) {
                return last;
            }
        }
        return null;
    }

    private void connect(XnioIoThread thread, ByteBufferPool buffers, ClientCallback<ClientConnection> callback) {
        ClientCallback<ClientConnection> counted = new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                connection.addCloseListener(closed -> open.decrementAndGet());
                callback.completed(connection);
            }

            @Override
            public void failed(IOException e) {
                open.decrementAndGet();
                callback.failed(e);
            }
        };
        UndertowClient.getInstance().connect(counted, uri, thread, buffers, OptionMap.EMPTY);
    }

    /** Takes back a connection whose request and answer ended cleanly. */
    void release(ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        XnioIoThread thread = connection.getIoThread();
        Deque<ClientConnection> own = idle.computeIfAbsent(thread, t -> new ArrayDeque<>());
        own.addLast(connection);
        thread.executeAfter(() -> closeIfIdle(own, connection), MAX_IDLE_SECONDS, TimeUnit.SECONDS);
    }

    private static void closeIfIdle(Deque<ClientConnection> own, ClientConnection connection) {
        if (own.peekFirst() == connection) {
            own.pollFirst();
            IoUtils.safeClose(connection);
        }
    }
}
