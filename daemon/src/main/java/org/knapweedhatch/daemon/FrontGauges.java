package org.knapweedhatch.daemon;

import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.fleet.Peers;
import org.knapweedhatch.front.FrontServer;
import org.knapweedhatch.place.Placer;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.store.PeerFetcher;

/** Gauges of a host on the users' platform that only read one of its parts. */
final class FrontGauges {

    private FrontGauges() {}

    /** Registers the gauges of callers' connections, their requests, and the choice of targets. */
    static void registerTraffic(Metrics metrics, FrontServer server, Placer placer) {
        registerConnections(metrics, server);
        registerBuffers(metrics, server);
        metrics.gauge(
                "load_statements",
                "Responses since the start in whose header the target stated its load",
                placer::loadStatements);
        metrics.gauge(
                "load_aware_services",
                "Services whose requests are placed by what the targets state",
                placer::loadAwareServices);
        metrics.gauge(
                "requests_not_at_first_target",
                "Requests since the start sent to another target than the first of their object",
                placer::sentElsewhere);
    }

    private static void registerConnections(Metrics metrics, FrontServer server) {
        metrics.gauge("caller_connections", "Open connections of callers", server::openConnections);
        metrics.gauge(
                "failed_accepts",
                "Times that a caller's connection could not be accepted since the start",
                server::failedAccepts);
        metrics.gauge(
                "caller_connections_closed_for_room",
                "Idle connections of callers closed for others since the start",
                server::evictedConnections);
        metrics.gauge(
                "target_protocol_errors",
                "Connections closed for a protocol error of their target since the start",
                server::targetProtocolErrors);
    }

    private static void registerBuffers(Metrics metrics, FrontServer server) {
        metrics.gauge(
                "waiting_requests", "Requests that wait at this host for a slot of a target", server::waitingRequests);
        metrics.gauge(
                "buffered_bytes",
                "Bytes that requests and responses hold, until they have been written",
                server::bufferedBytes);
        metrics.gauge(
                "caller_connections_waiting_for_memory",
                "Connections of callers whose input is not read for lack of memory",
                server::waitingForMemory);
        metrics.gauge(
                "caller_memory_drops",
                "Callers whose request or connection was dropped for its memory since the start",
                server::memoryDrops);
        metrics.gauge(
                "attempts_passed_over_for_bytes",
                "Attempts that went elsewhere, as too many bytes were in flight to a target, since the start",
                server::fullTargets);
    }

    /** Registers the gauges of messages between hosts, and of what hosts fetch from each other. */
    static void registerPeers(Metrics metrics, Peers peers, PeerFetcher fetcher) {
        peers.counters()
                .forEach((name, value) -> metrics.gauge(
                        "peer_" + name.replace('.', '_'), "Count since the start: " + name, value::getAsLong));
        peers.bytesSentByType()
                .forEach((type, bytes) -> metrics.gauge(
                        "peer_bytes_sent_by_type",
                        "Bytes sent to other hosts since the start, by type of message",
                        "type",
                        type,
                        bytes::getAsLong));
        metrics.gauge("peer_fetches", "Fetches of stored objects from other hosts since the start", fetcher::begun);
        metrics.gauge(
                "peer_fetches_failed",
                "Fetches of stored objects from other hosts that failed since the start",
                fetcher::failed);
        metrics.gauge(
                "peer_fetched_bytes",
                "Bytes of the answers to fetches of stored objects since the start",
                fetcher::receivedBytes);
    }

    /** Registers the gauges of calls to the store. */
    static void registerStore(Metrics metrics, HttpPlatform store) {
        metrics.gauge(
                "store_reads",
                "Reads of the store since the start",
                () -> store.counts().reads());
        metrics.gauge(
                "store_lists",
                "Lists of the store since the start",
                () -> store.counts().lists());
        metrics.gauge(
                "store_watches",
                "Watches of the store since the start",
                () -> store.counts().watches());
        metrics.gauge(
                "store_writes",
                "Writes to the store since the start",
                () -> store.counts().writes());
    }
}
