package org.knapweedhatch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.google.protobuf.ByteString;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.peer.proto.Envelope;

public class OutboundQueueTest {

    private final OutboundQueue queue = new OutboundQueue(2, 1_000, 10);

    private static Envelope envelope(int kind) {
        return Envelope.newBuilder().setKind(kind).build();
    }

    @Operation
    public int add(@Param(gen = IntGen.class, conf = "11:14") int kind) {
        return queue.add(envelope(kind), 0);
    }

    @Operation
    public int poll() {
        Envelope first = queue.poll();
        return first == null ? -1 : first.getKind();
    }

    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(30)
                .invocationsPerIteration(500)
                .threads(2)
                .actorsPerThread(3)
                .check(OutboundQueueTest.class);
    }

    @Test
    void fullQueueDropsTheOldest() {
        assertEquals(0, queue.add(envelope(11), 0));
        assertEquals(0, queue.add(envelope(12), 0));
        assertEquals(1, queue.add(envelope(13), 0));
        assertEquals(12, queue.poll().getKind());
    }

    @Test
    void bytesAreBoundedToo() {
        queue.add(envelope(11), 0);
        Envelope large = Envelope.newBuilder()
                .setBody(ByteString.copyFrom(new byte[999]))
                .build();
        assertEquals(1, queue.add(large, 0));
        assertEquals(1, queue.size());
    }

    @Test
    void messagesGrowTooOld() {
        queue.add(envelope(11), 0);
        queue.add(envelope(12), 5);
        assertEquals(1, queue.expire(11));
        assertEquals(12, queue.poll().getKind());
        assertNull(queue.poll());
    }
}
