package org.knapweedhatch.listen;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.knapweedhatch.resource.MemoryReclaimer;
import org.knapweedhatch.resource.Progress;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/** One connection and the memory that it holds: its head or its request in progress, and their buffers. */
final class GuardedConnection implements MemoryReclaimer.Holder {

    static final AttachmentKey<GuardedConnection> KEY = AttachmentKey.create(GuardedConnection.class);

    /** Memory of a connection that sends nothing, in bytes. */
    static final long CONNECTION_BYTES = 8 * 1_024;

    /** Memory of each byte of an unfinished head: text of two bytes a character, in a builder that has doubled. */
    private static final int MEMORY_PER_HEAD_BYTE = 4;

    /** Memory of a request in progress besides its body: a buffer for its input and one for its output. */
    private static final long REQUEST_BYTES = 2 * 16 * 1_024;

    private final StreamConnection connection;
    private final ConnectionGuard guard;
    private final HttpHandler overloaded;
    private final long openedNanos;
    private final Progress progress = new Progress();
    private HttpServerExchange exchange;
    private boolean used;
    private boolean closed;
    private boolean inputRead;
    private boolean outputBlocked;
    private long headBytes;
    private long received;
    private long sent;
    private long held;

    private GuardedConnection(StreamConnection connection, ConnectionGuard guard, HttpHandler overloaded) {
        this.connection = connection;
        this.guard = guard;
        this.overloaded = overloaded;
        openedNanos = guard.time().nanos();
    }

    /** Returns a connection that is not yet read; {@code overloaded} responds to requests that get no memory. */
    static GuardedConnection of(StreamConnection connection, ConnectionGuard guard, HttpHandler overloaded) {
        return new GuardedConnection(connection, guard, overloaded);
    }

    /** Begins to read requests. */
    void open(HttpOpenListener listener) {
        connection
                .getSourceChannel()
                .setConduit(new Input(connection.getSourceChannel().getConduit()));
        connection
                .getSinkChannel()
                .setConduit(new Output(connection.getSinkChannel().getConduit()));
        listener.handleEvent(connection);
        ChannelListener<? super StreamConnection> afterClose = connection.getCloseListener();
        connection.setCloseListener(ended -> {
            ChannelListeners.invokeChannelListener(ended, afterClose);
            if (Thread.currentThread() == ended.getIoThread()) {
                closed();
            } else {
                ended.getIoThread().execute(this::closed);
            }
        });
        if (!connection.isOpen()) {
            closed();
        }
    }

    /** Handles a request whose head is complete. */
    void handle(HttpServerExchange begun, HttpHandler handler) throws Exception {
        exchange = begun;
        used = true;
        guard.connections().markInUse(this);
        begun.putAttachment(KEY, this);
        begun.addExchangeCompleteListener((ended, next) -> {
            exchangeEnded(unreadBytes(ended));
            next.proceed();
        });
        if (reserve(REQUEST_BYTES)) {
            handler.handleRequest(begun);
        } else if (!closed) {
            begun.setPersistent(false);
            overloaded.handleRequest(begun);
        }
    }

    /** Returns the number of bytes that were read behind a request. */
    private static int unreadBytes(HttpServerExchange ended) {
        PooledByteBuffer unread =
                ended.getConnection() instanceof AbstractServerConnection http ? http.getExtraBytes() : null;
        return unread == null ? 0 : unread.getBuffer().remaining();
    }

    private void exchangeEnded(int unread) {
        exchange = null;
        headBytes = 0;
        if (closed) {
            return;
        }
        release(held - CONNECTION_BYTES);
        guard.connections().markIdle(this);
        if (unread > 0 && !beginHead(unread)) {
            guard.close(this, ConnectionGuard.Cause.MEMORY);
        }
    }

    /** Accounts for bytes of a head; returns false if there is no memory for them. */
    private boolean beginHead(int count) {
        if (headBytes == 0) {
            guard.connections().markReceivingHead(this);
        }
        headBytes += count;
        return reserve(count * (long) MEMORY_PER_HEAD_BYTE);
    }

    /** Reserves memory until the request in progress has ended; returns false if there is none left. */
    boolean reserve(long bytes) {
        if (closed || !guard.reserve(this, bytes, held)) {
            return false;
        }
        held += bytes;
        return true;
    }

    private void release(long bytes) {
        guard.release(bytes);
        held -= bytes;
    }

    private void received(int count) throws IOException {
        inputRead = count == 0;
        if (count <= 0) {
            return;
        }
        received += count;
        if (exchange == null && !beginHead(count)) {
            guard.close(this, ConnectionGuard.Cause.MEMORY);
            throw new IOException("no memory is left for the head of a request");
        }
    }

    private void sent(long count, boolean wanted) {
        sent += Math.max(0, count);
        outputBlocked = wanted && count == 0;
    }

    @Override
    public long droppableBytes() {
        if (closed) {
            return 0;
        }
        if (exchange == null) {
            // One that was used before is kept for its next request.
            return used && headBytes == 0 ? 0 : held;
        }
        boolean waitsForClient = outputBlocked || inputRead && !exchange.isRequestComplete();
        return waitsForClient ? held : 0;
    }

    @Override
    public long recentBytes() {
        return progress.recent(received + sent);
    }

    void decayProgress() {
        progress.decay(received + sent);
    }

    @Override
    public long ageNanos() {
        return guard.time().nanos() - openedNanos;
    }

    @Override
    public void dropForMemory() {
        guard.close(this, ConnectionGuard.Cause.MEMORY);
    }

    @Override
    public void resumeReading() {
        // Its input is always read: Undertow holds back what its handlers do not take.
    }

    long heldBytes() {
        return held;
    }

    long receivedBytes() {
        return received;
    }

    boolean isOpen() {
        return !closed;
    }

    void close() {
        closed();
        IoUtils.safeClose(connection);
    }

    private void closed() {
        if (!closed) {
            closed = true;
            guard.connections().remove(this);
            release(held);
        }
    }

    /** Counts what is read. */
    private final class Input extends AbstractStreamSourceConduit<StreamSourceConduit> {
        Input(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            int count = super.read(target);
            received(count);
            return count;
        }

        @Override
        public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
            long count = super.read(targets, offset, length);
            received((int) count);
            return count;
        }

        @Override
        public long transferTo(long most, ByteBuffer through, StreamSinkChannel target) throws IOException {
            long count = super.transferTo(most, through, target);
            received((int) count);
            return count;
        }
    }

    /** Counts what is written. */
    private final class Output extends AbstractStreamSinkConduit<StreamSinkConduit> {
        Output(StreamSinkConduit next) {
            super(next);
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            boolean wanted = source.hasRemaining();
            int count = super.write(source);
            sent(count, wanted);
            return count;
        }

        @Override
        public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
            long count = super.write(sources, offset, length);
            sent(count, true);
            return count;
        }

        @Override
        public long transferFrom(StreamSourceChannel source, long most, ByteBuffer through) throws IOException {
            long count = super.transferFrom(source, most, through);
            sent(count, through.hasRemaining());
            return count;
        }

        @Override
        public int writeFinal(ByteBuffer source) throws IOException {
            boolean wanted = source.hasRemaining();
            int count = super.writeFinal(source);
            sent(count, wanted);
            return count;
        }

        @Override
        public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
            long count = super.writeFinal(sources, offset, length);
            sent(count, true);
            return count;
        }
    }
}
