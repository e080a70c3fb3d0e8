package org.knapweedhatch.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What a transport counts since its start. */
public final class PeerCounters {

    final LongAdder messagesSent = new LongAdder();
    final LongAdder messagesReceived = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private final Map<Integer, LongAdder> bytesSentByKind = new ConcurrentHashMap<>();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder dropped = new LongAdder();
    final LongAdder unknownKinds = new LongAdder();
    final LongAdder rejected = new LongAdder();
    final LongAdder connections = new LongAdder();

    /** Counts a frame that was sent, by the number of its kind. */
    void frameSent(int kind, long bytes) {
        bytesSent.add(bytes);
        bytesSentByKind.computeIfAbsent(kind, k -> new LongAdder()).add(bytes);
    }

    /** Returns the bytes of the frames of a kind that were sent since the start. */
    public long bytesSent(int kind) {
        LongAdder bytes = bytesSentByKind.get(kind);
        return bytes == null ? 0 : bytes.sum();
    }

    /** Returns the counts by name. */
    public Map<String, Long> read() {
        Map<String, Long> counts = new TreeMap<>();
        counts.put("messages.sent", messagesSent.sum());
        counts.put("messages.received", messagesReceived.sum());
        counts.put("bytes.sent", bytesSent.sum());
        counts.put("bytes.received", bytesReceived.sum());
        counts.put("messages.dropped", dropped.sum());
        counts.put("messages.unknown", unknownKinds.sum());
        counts.put("connections.rejected", rejected.sum());
        counts.put("connections.made", connections.sum());
        return counts;
    }
}
