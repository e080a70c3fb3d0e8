package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.IntConsumer;

/** Reports the number of bytes received on a connection, before they are decoded. */
final class InboundBytesHandler extends ChannelInboundHandlerAdapter {

    private final IntConsumer listener;

    InboundBytesHandler(IntConsumer listener) {
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        listener.accept(((ByteBuf) message).readableBytes());
        ctx.fireChannelRead(message);
    }
}
