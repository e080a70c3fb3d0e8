package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformWatch;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.release.ConfigurationFollower;
import org.knapweedhatch.release.FollowerEffect;
import org.knapweedhatch.release.Head;
import org.knapweedhatch.release.OfferRequest;
import org.knapweedhatch.release.PieceAnswer;
import org.knapweedhatch.release.PieceRequest;
import org.knapweedhatch.release.ReleaseObjectNames;
import org.knapweedhatch.release.ReleaseOffer;
import org.knapweedhatch.release.StalenessGuard;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;

/**
 * Drives a host's configuration follower: one thread waits on the platform's watch, another reads pieces, and peers'
 * messages are passed in.
 */
final class ConfigurationFeed {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration START_WAIT = Duration.ofMillis(500);

    private final ObjectApi platform;
    private final ConfigurationFollower follower;
    private final Consumer<OutgoingMessage> sender;
    private final Consumer<Configuration> inForce;
    private final ExecutorService reader = Executors.newSingleThreadExecutor(task -> daemonThread(task, "pieces"));
    private final Thread watcher = daemonThread(this::watch, "configuration-watch");
    private final TimeSource time;
    private final AtomicBoolean confirming = new AtomicBoolean();
    private volatile boolean stopped;

    private ConfigurationFeed(
            ObjectApi platform,
            TimeSource time,
            EventSink events,
            Consumer<OutgoingMessage> sender,
            Consumer<Configuration> inForce) {
        this.platform = platform;
        this.time = time;
        this.follower = ConfigurationFollower.create(time, START_WAIT, events);
        this.sender = sender;
        this.inForce = inForce;
    }

    /** Creates a feed; {@code inForce} runs for each configuration that comes into force, in order. */
    static ConfigurationFeed of(
            ObjectApi platform,
            TimeSource time,
            EventSink events,
            Consumer<OutgoingMessage> sender,
            Consumer<Configuration> inForce) {
        return new ConfigurationFeed(platform, time, events, sender, inForce);
    }

    void start() {
        watcher.start();
    }

    void stop() {
        stopped = true;
        watcher.interrupt();
        reader.shutdownNow();
    }

    /** Returns the number of the configuration in force; 0 before there is one. */
    long number() {
        return follower.active().number();
    }

    /** Asks again for what did not come; to be called about every 200 ms. */
    void tick() {
        perform(follower.tick());
    }

    /** Asks the platform for the latest number, and tells the guard once that number is in force here. */
    void confirm(StalenessGuard guard) {
        if (!stopped && confirming.compareAndSet(false, true)) {
            reader.execute(() -> {
                askLatest(guard);
                confirming.set(false);
            });
        }
    }

    private void askLatest(StalenessGuard guard) {
        long asked = time.nanos();
        Result<StoredObject> read = platform.read(ReleaseObjectNames.HEAD);
        if (!read.isOk()) {
            return;
        }
        perform(follower.onHeadRead(read.orThrow()));
        Result<Head> head = Head.parse(read.orThrow().body());
        if (head.isOk() && number() >= head.orThrow().number()) {
            guard.confirm(asked);
        }
    }

    /** Takes the configuration number that a peer's heartbeat shows. */
    void peerNumber(String host, long number) {
        perform(follower.onPeerNumber(host, number));
    }

    /** Takes a peer's message; returns false where it is none of the follower's. */
    boolean receive(String from, PeerMessage message) {
        if (message instanceof OfferRequest request) {
            perform(follower.received(from, request));
        } else if (message instanceof PieceRequest request) {
            perform(follower.received(from, request));
        } else if (message instanceof ReleaseOffer offer) {
            perform(follower.received(from, offer));
        } else if (message instanceof PieceAnswer answer) {
            perform(follower.received(from, answer));
        } else {
            return false;
        }
        return true;
    }

    private void watch() {
        PlatformWatch watch = PlatformWatch.of(
                platform,
                ReleaseObjectNames.HEAD,
                Waiter.blocking(),
                () -> ThreadLocalRandom.current().nextDouble());
        while (!stopped) {
            Result<List<StoredObject>> changed = watch.next();
            if (changed.isOk()) {
                changed.orThrow().forEach(head -> perform(follower.onHeadRead(head)));
            } else if (!stopped) {
                LOG.atWarning().log("configuration: platform does not answer: %s", changed.fault());
            }
        }
    }

    private void perform(List<FollowerEffect> effects) {
        for (FollowerEffect effect : effects) {
            if (effect instanceof FollowerEffect.Send send) {
                sender.accept(send.outgoing());
            } else if (effect instanceof FollowerEffect.ReadPiece read) {
                read(read);
            } else if (effect instanceof FollowerEffect.Activated next) {
                LOG.atInfo().log(
                        "configuration: %d in force", next.configuration().number());
                inForce.accept(next.configuration());
            }
        }
    }

    private void read(FollowerEffect.ReadPiece read) {
        if (!stopped) {
            reader.execute(() -> perform(follower.onPieceRead(read.digest(), platform.read(read.object()))));
        }
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
