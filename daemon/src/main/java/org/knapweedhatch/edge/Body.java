package org.knapweedhatch.edge;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;

/** The body of a caller's request: a small one is held and can be sent again, a large one streams through once. */
sealed interface Body {

    /** Returns whether the body can still be sent from its beginning. */
    boolean repeatable();

    /** Sends the body to a target and ends the request. */
    void sendTo(StreamSinkChannel sink, Runnable done, Consumer<IOException> readFailed, Consumer<IOException> failed);

    /** A body held in memory; it can be sent any number of times. */
    record Held(byte[] bytes) implements Body {
        @Override
        public boolean repeatable() {
            return true;
        }

        @Override
        public void sendTo(
                StreamSinkChannel sink, Runnable done, Consumer<IOException> readFailed, Consumer<IOException> failed) {
            Pipe.send(sink, ByteBuffer.wrap(bytes), done, failed);
        }
    }

    /** A body that streams from the caller. */
    final class Streamed implements Body {
        private final HttpServerExchange exchange;
        private final ByteBufferPool buffers;
        private boolean begun;

        Streamed(HttpServerExchange exchange) {
            this.exchange = exchange;
            this.buffers = exchange.getConnection().getByteBufferPool();
        }

        @Override
        public boolean repeatable() {
            return !begun;
        }

        @Override
        public void sendTo(
                StreamSinkChannel sink, Runnable done, Consumer<IOException> readFailed, Consumer<IOException> failed) {
            begun = true;
            Pipe.stream(exchange.getRequestChannel(), sink, buffers, () -> {}, done, readFailed, failed);
        }
    }
}
