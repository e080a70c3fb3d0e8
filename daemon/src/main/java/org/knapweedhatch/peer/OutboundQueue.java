package org.knapweedhatch.peer;

import java.util.ArrayDeque;
import org.knapweedhatch.peer.proto.Envelope;

/** Messages that wait for a connection: bounded in number, bytes and age; the oldest are dropped first. */
final class OutboundQueue {

    private record Waiting(Envelope envelope, long sinceNanos) {}

    private final int maxMessages;
    private final long maxBytes;
    private final long maxAgeNanos;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private long bytes;

    OutboundQueue(int maxMessages, long maxBytes, long maxAgeNanos) {
        this.maxMessages = maxMessages;
        this.maxBytes = maxBytes;
        this.maxAgeNanos = maxAgeNanos;
    }

    /** Adds a message; returns how many old ones were dropped for it. */
    synchronized int add(Envelope envelope, long nowNanos) {
        waiting.addLast(new Waiting(envelope, nowNanos));
        bytes += envelope.getSerializedSize();
        int dropped = 0;
        while (waiting.size() > maxMessages || (bytes > maxBytes && waiting.size() > 1)) {
            remove();
            dropped++;
        }
        return dropped;
    }

    /** Drops what waits for too long; returns how many messages that were. */
    synchronized int expire(long nowNanos) {
        int dropped = 0;
        while (!waiting.isEmpty() && nowNanos - waiting.peekFirst().sinceNanos() > maxAgeNanos) {
            remove();
            dropped++;
        }
        return dropped;
    }

    /** Returns and removes the oldest message; null where none waits. */
    synchronized Envelope poll() {
        return waiting.isEmpty() ? null : remove();
    }

    private Envelope remove() {
        Envelope first = waiting.removeFirst().envelope();
        bytes -= first.getSerializedSize();
        return first;
    }

    synchronized int size() {
        return waiting.size();
    }
}
