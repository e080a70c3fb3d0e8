package org.knapweedhatch.edge;

import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Transfer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelExceptionHandler;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Moves bodies between channels under back-pressure, never holding one whole. */
final class Pipe {

    private Pipe() {}

    /** Moves everything from {@code source} to {@code sink}, runs {@code read}, ends the sink, runs {@code done}. */
    static void stream(
            StreamSourceChannel source,
            StreamSinkChannel sink,
            ByteBufferPool buffers,
            Runnable read,
            Runnable done,
            Consumer<IOException> readFailed,
            Consumer<IOException> writeFailed) {
        ChannelExceptionHandler<StreamSourceChannel> onRead = (channel, e) -> readFailed.accept(e);
        ChannelExceptionHandler<StreamSinkChannel> onWrite = (channel, e) -> writeFailed.accept(e);
        Transfer.initiateTransfer(
                source,
                sink,
                channel -> read.run(),
                channel -> end(channel, done, writeFailed),
                onRead,
                onWrite,
                buffers);
    }

    /** Writes some bytes to {@code sink}, ends it, then runs {@code done}. */
    static void send(StreamSinkChannel sink, ByteBuffer bytes, Runnable done, Consumer<IOException> failed) {
        try {
            while (bytes.hasRemaining()) {
                if (sink.write(bytes) == 0) {
                    resume(sink, channel -> send(channel, bytes, done, failed));
                    return;
                }
            }
            end(sink, done, failed);
        } catch (IOException e) {
            failed.accept(e);
        }
    }

    /** Reads from {@code source} until {@code held} is full and the source ends, then runs {@code done}. */
    static void collect(StreamSourceChannel source, ByteBuffer held, Runnable done, Consumer<IOException> failed) {
        try {
            ByteBuffer one = ByteBuffer.allocate(1);
            while (true) {
                int read = source.read(held.hasRemaining() ? held : one);
                if (read < 0) {
                    finish(held, done, failed);
                    return;
                }
                if (read == 0) {
                    awaitRead(source, held, done, failed);
                    return;
                }
            }
        } catch (IOException e) {
            failed.accept(e);
        }
    }

    private static void finish(ByteBuffer held, Runnable done, Consumer<IOException> failed) {
        if (held.hasRemaining()) {
            failed.accept(new IOException("the body ended early"));
        } else {
            done.run();
        }
    }

    private static void awaitRead(
            StreamSourceChannel source, ByteBuffer held, Runnable done, Consumer<IOException> failed) {
        source.getReadSetter().set(channel -> {
            channel.suspendReads();
            collect(channel, held, done, failed);
        });
        source.resumeReads();
    }

    private static void resume(StreamSinkChannel sink, ChannelListener<StreamSinkChannel> listener) {
        sink.getWriteSetter().set(channel -> {
            channel.suspendWrites();
            listener.handleEvent(channel);
        });
        sink.resumeWrites();
    }

    /** Ends a sink and runs {@code done} once all of it is flushed. */
    static void end(StreamSinkChannel sink, Runnable done, Consumer<IOException> failed) {
        try {
            sink.shutdownWrites();
            if (sink.flush()) {
                done.run();
                return;
            }
            sink.getWriteSetter()
                    .set(ChannelListeners.flushingChannelListener(
                            flushed -> done.run(), (channel, e) -> failed.accept(e)));
            sink.resumeWrites();
        } catch (IOException e) {
            failed.accept(e);
        }
    }
}
