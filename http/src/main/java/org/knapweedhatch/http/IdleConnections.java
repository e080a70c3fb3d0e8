package org.knapweedhatch.http;

import io.undertow.client.ClientConnection;
import java.net.URI;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.knapweedhatch.clock.TimeSource;
import org.xnio.IoUtils;

/** Open connections that wait for their next call, by peer. */
final class IdleConnections {

    private static final Duration MAX_IDLE = Duration.ofSeconds(10);

    private final TimeSource time;
    private final Map<String, Deque<Idle>> byPeer = new ConcurrentHashMap<>();

    private record Idle(ClientConnection connection, long sinceNanos) {}

    IdleConnections(TimeSource time) {
        this.time = time;
    }

    /** Takes an open connection to the peer of a URI; null where there is none. */
    ClientConnection take(URI uri) {
        Deque<Idle> deque = deque(uri);
        for (Idle idle = deque.pollFirst(); idle != null; idle = deque.pollFirst()) {
            boolean fresh = time.since(idle.sinceNanos()).compareTo(MAX_IDLE) < 0;
            if (fresh && idle.connection().isOpen()) {
                return idle.connection();
            }
            IoUtils.safeClose(idle.connection());
        }
        return null;
    }

    void put(URI uri, ClientConnection connection) {
        deque(uri).addFirst(new Idle(connection, time.nanos()));
    }

    void close() {
        byPeer.values().forEach(deque -> deque.forEach(idle -> IoUtils.safeClose(idle.connection())));
        byPeer.clear();
    }

    private Deque<Idle> deque(URI uri) {
        return byPeer.computeIfAbsent(uri.getAuthority(), a -> new ConcurrentLinkedDeque<>());
    }
}
