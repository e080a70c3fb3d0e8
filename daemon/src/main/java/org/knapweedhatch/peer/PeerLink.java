package org.knapweedhatch.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.peer.proto.Envelope;

/** The one connection to a peer, with what waits for it; dials when there is something to send. */
final class PeerLink {

    /** Starts a connection to a peer; reports its end through {@link PeerLink#dialFailed} or a detached channel. */
    @FunctionalInterface
    interface Dialler {
        /** Returns false where no address of the peer is known. */
        boolean dial(PeerLink link);
    }

    private final String peer;
    private final String self;
    private final Dialler dialler;
    private final EventLoop loop;
    private final PeerCounters counters;
    private final OutboundQueue queue =
            new OutboundQueue(Limits.QUEUE_MESSAGES, Limits.QUEUE_BYTES, Limits.QUEUE_AGE.toNanos());
    private PeerChannel active;
    private boolean dialling;
    private boolean closed;
    private int failures;
    private long nextDialNanos = System.nanoTime();

    PeerLink(String peer, String self, Dialler dialler, EventLoop loop, PeerCounters counters) {
        this.peer = peer;
        this.self = self;
        this.dialler = dialler;
        this.loop = loop;
        this.counters = counters;
    }

    String peer() {
        return peer;
    }

    /** Queues a message and sends it as soon as there is a connection. */
    void send(Envelope envelope, Duration delay) {
        if (delay.isZero()) {
            enqueue(envelope);
        } else {
            loop.schedule(() -> enqueue(envelope), delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void enqueue(Envelope envelope) {
        counters.dropped.add(queue.add(envelope, System.nanoTime()));
        PeerChannel channel = connected();
        if (channel != null) {
            flush(channel);
        } else {
            dialIfDue();
        }
    }

    private synchronized PeerChannel connected() {
        return active;
    }

    private void dialIfDue() {
        synchronized (this) {
            if (active != null || dialling || closed || System.nanoTime() < nextDialNanos) {
                return;
            }
            dialling = true;
        }
        if (!dialler.dial(this)) {
            dialFailed();
        }
    }

    /** Notes that a connection attempt ended without a proved connection. */
    void dialFailed() {
        counters.dropped.add(queue.expire(System.nanoTime()));
        long pause;
        synchronized (this) {
            if (closed) {
                return;
            }
            dialling = false;
            failures++;
            pause = backOffNanos(failures);
            nextDialNanos = System.nanoTime() + pause;
        }
        if (queue.size() > 0) {
            loop.schedule(this::dialIfDue, pause, TimeUnit.NANOSECONDS);
        }
    }

    /** Returns a pause between half and the whole of the doubled one. */
    private static long backOffNanos(int failures) {
        long doubled = Limits.BACK_OFF.toNanos() << Math.min(failures - 1, 10);
        long bounded = Math.min(doubled, Limits.MAX_BACK_OFF.toNanos());
        return ThreadLocalRandom.current().nextLong(bounded / 2, bounded + 1);
    }

    /** Takes a proved connection into use; returns false where another one is to be kept instead. */
    boolean attach(PeerChannel channel) {
        PeerChannel old;
        synchronized (this) {
            dialling &= !channel.dialled();
            if (closed || (active != null && !preferred(channel, active))) {
                return false;
            }
            old = active;
            active = channel;
            failures = 0;
        }
        if (old != null) {
            old.tellOutdated(channel.peerIncarnation());
            old.retire();
        }
        flush(channel);
        return true;
    }

    /** Returns the incarnation of the process that is connected; 0 where none is. */
    synchronized long newest() {
        return active == null ? 0 : active.peerIncarnation();
    }

    /** Both ends keep the connection of the later process, else the one that the host with the lower name dialled. */
    private boolean preferred(PeerChannel fresh, PeerChannel old) {
        if (fresh.peerIncarnation() != old.peerIncarnation()) {
            return fresh.peerIncarnation() > old.peerIncarnation();
        }
        boolean sameSide = fresh.dialled() == old.dialled();
        return sameSide || fresh.dialled() == (self.compareTo(peer) < 0);
    }

    /** Notes that a connection ended. */
    void detach(PeerChannel channel) {
        synchronized (this) {
            if (active != channel) {
                return;
            }
            active = null;
        }
        if (queue.size() > 0) {
            dialIfDue();
        }
    }

    /** Writes what waits, as far as the connection takes it. */
    void flush(PeerChannel peerChannel) {
        Channel channel = peerChannel.channel();
        channel.eventLoop().execute(() -> {
            counters.dropped.add(queue.expire(System.nanoTime()));
            boolean wrote = false;
            while (channel.isWritable() && connected() == peerChannel) {
                Envelope next = queue.poll();
                if (next == null) {
                    break;
                }
                peerChannel.write(next);
                wrote = true;
            }
            if (wrote) {
                channel.flush();
            }
        });
    }

    /** Sends what waits, ends the connection and makes no other. */
    void close() {
        PeerChannel old;
        synchronized (this) {
            closed = true;
            old = active;
        }
        if (old != null) {
            flush(old);
            old.retireAfter(Limits.LAST_WORDS);
        }
    }
}
