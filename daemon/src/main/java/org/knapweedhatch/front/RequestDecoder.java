package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/** Decodes requests of a caller one at a time, as its connection takes them. */
final class RequestDecoder extends HttpRequestDecoder {

    /** Longest request line in bytes; common servers accept as much. */
    private static final int MAX_LINE_BYTES = 8_192;

    /** Largest part of a body that is decoded at once, in bytes; bounds the memory of a read. */
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Heap that a byte of an unfinished head takes at most: many headers of a few bytes, each with its objects. */
    private static final int HEAP_PER_HEAD_BYTE = 64;

    private final CallerConnection connection;
    private ChannelHandlerContext context;
    private long unfinishedBytes;

    RequestDecoder(CallerConnection connection, int maxHeadBytes) {
        super(MAX_LINE_BYTES, maxHeadBytes, MAX_CHUNK_BYTES);
        this.connection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        context = ctx;
        super.handlerAdded(ctx);
    }

    /** Leaves the input as it is while the connection takes none. */
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> out) throws Exception {
        if (!connection.takesInput()) {
            return;
        }
        int before = input.readableBytes();
        super.decode(ctx, input, out);
        unfinishedBytes = out.isEmpty() ? unfinishedBytes + before - input.readableBytes() : 0;
    }

    /** Decodes input that was left. */
    void resume() throws Exception {
        if (hasInput()) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    /** Returns whether there is input that is not decoded. */
    boolean hasInput() {
        return actualReadableBytes() > 0;
    }

    /** Returns how much memory input takes that belongs to no message passed on so far; an upper bound. */
    long heldBytes() {
        return internalBuffer().capacity() + unfinishedBytes * HEAP_PER_HEAD_BYTE;
    }
}
