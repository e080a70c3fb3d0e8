package org.knapweedhatch.edge;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Moves a body between channels piece by piece, each piece when its pacer lets it pass. */
final class PacedPipe {

    private static final int PIECE_BYTES = 16 * 1024;
    private static final Duration SHORTEST_WAIT = Duration.ofMillis(1);
    private static final Duration LONGEST_WAIT = Duration.ofMillis(200);

    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private final Pacer pacer;
    private final XnioExecutor thread;
    private final Runnable read;
    private final Runnable done;
    private final Consumer<IOException> readFailed;
    private final Consumer<IOException> writeFailed;
    private final ByteBuffer piece = ByteBuffer.allocate(PIECE_BYTES);
    private boolean paid;

    PacedPipe(
            StreamSourceChannel source,
            StreamSinkChannel sink,
            Pacer pacer,
            XnioExecutor thread,
            Runnable read,
            Runnable done,
            Consumer<IOException> readFailed,
            Consumer<IOException> writeFailed) {
        this.source = source;
        this.sink = sink;
        this.pacer = pacer;
        this.thread = thread;
        this.read = read;
        this.done = done;
        this.readFailed = readFailed;
        this.writeFailed = writeFailed;
        piece.flip();
    }

    /** Returns a wait that is neither too short to be worth a timer nor long enough to miss a change. */
    static Duration bounded(Duration wait) {
        if (wait.compareTo(SHORTEST_WAIT) < 0) {
            return SHORTEST_WAIT;
        }
        return wait.compareTo(LONGEST_WAIT) > 0 ? LONGEST_WAIT : wait;
    }

    /** Moves what can be moved now; goes on by itself when more can. */
    void run() {
        boolean more = true;
        while (more) {
            more = piece.hasRemaining() ? pass() : fill();
        }
    }

    private boolean fill() {
        try {
            piece.clear();
            int count = source.read(piece);
            piece.flip();
            if (count > 0) {
                paid = false;
                return true;
            }
            if (count == 0) {
                awaitSource();
            } else {
                read.run();
                Pipe.end(sink, done, writeFailed);
            }
        } catch (IOException e) {
            piece.flip();
            readFailed.accept(e);
        }
        return false;
    }

    private boolean pass() {
        if (!paid) {
            Duration wait = pacer.take(piece.remaining());
            if (!wait.isZero()) {
                thread.executeAfter(this::run, wait.toNanos(), TimeUnit.NANOSECONDS);
                return false;
            }
            paid = true;
        }
        try {
            if (sink.write(piece) == 0) {
                awaitSink();
                return false;
            }
            return true;
        } catch (IOException e) {
            writeFailed.accept(e);
            return false;
        }
    }

    private void awaitSource() {
        source.getReadSetter().set(channel -> {
            channel.suspendReads();
            run();
        });
        source.resumeReads();
    }

    private void awaitSink() {
        sink.getWriteSetter().set(channel -> {
            channel.suspendWrites();
            run();
        });
        sink.resumeWrites();
    }
}
