package org.knapweedhatch.daemon;

import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.listen.HttpListeners;

/** Gauges of what the clients of some listeners hold. */
final class ListenerGauges {

    private ListenerGauges() {}

    /** Registers the gauges of listeners whose clients are named by {@code clients}. */
    static void register(Metrics metrics, String clients, HttpListeners listeners) {
        metrics.gauge(
                clients + "_connections", "Open connections of " + clients + " clients", listeners::openConnections);
        metrics.gauge(
                clients + "_buffered_bytes",
                "Upper bound of the bytes that connections of " + clients + " clients hold",
                listeners::heldBytes);
        metrics.gauge(
                clients + "_connections_closed_for_room",
                "Connections of " + clients + " clients closed for others since the start",
                listeners::closedForRoom);
        metrics.gauge(
                clients + "_memory_drops",
                "Connections of " + clients + " clients closed for their memory since the start",
                listeners::droppedForMemory);
    }
}
