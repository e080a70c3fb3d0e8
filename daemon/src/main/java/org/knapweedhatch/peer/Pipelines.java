package org.knapweedhatch.peer;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.knapweedhatch.peer.proto.Envelope;

/** The handlers of a connection: bounded frames, envelopes, idle detection. */
final class Pipelines {

    private Pipelines() {}

    static LengthFieldBasedFrameDecoder frames(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, Limits.LENGTH_BYTES, 0, Limits.LENGTH_BYTES);
    }

    static ChannelInitializer<SocketChannel> of(Supplier<PeerChannel> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(frames(Limits.GREETING_FRAME))
                        .addLast(new LengthFieldPrepender(Limits.LENGTH_BYTES))
                        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                        .addLast(new ProtobufEncoder())
                        .addLast(new IdleStateHandler(Limits.READ_IDLE.toMillis(), 0, 0, TimeUnit.MILLISECONDS))
                        .addLast(handler.get());
            }
        };
    }
}
