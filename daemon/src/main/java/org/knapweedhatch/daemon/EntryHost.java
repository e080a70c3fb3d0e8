package org.knapweedhatch.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.edge.Callers;
import org.knapweedhatch.edge.Edge;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.settings.Settings;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.HybridClock;
import org.knapweedhatch.timeline.Timeline;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Key;

/**
 * One entry host: every part of the daemon, wired together.
 *
 * <pre>{@code
 * EntryHost host = EntryHost.start(settings, platform, TimeSource.system());
 * host.stop();
 * }</pre>
 */
public final class EntryHost {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int TIMELINE_EVENTS = 4_096;
    private static final long TICK_MS = 200;

    private final Settings settings;
    private final Timeline timeline;
    private final ConfigurationFeed feed;
    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor();
    private volatile Configuration configuration = Configuration.empty();
    private volatile KeyRing keys = KeyRing.empty();
    private Edge edge;

    private EntryHost(Settings settings, ObjectApi platform, TimeSource time) {
        this.settings = settings;
        timeline = Timeline.of(settings.host().name(), HybridClock.of(time), TIMELINE_EVENTS);
        feed = ConfigurationFeed.of(platform, time, timeline, outgoing -> {}, this::configure);
    }

    /** Starts a host; throws {@link RuntimeException} where an address cannot be bound. */
    public static EntryHost start(Settings settings, ObjectApi platform, TimeSource time) {
        EntryHost host = new EntryHost(settings, platform, time);
        host.start();
        return host;
    }

    private void start() {
        feed.start();
        ticker.scheduleWithFixedDelay(feed::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        Callers callers =
                new Callers(settings.host().name(), settings.host().region(), () -> configuration, () -> keys);
        edge = Edge.listen(settings.host().edge(), adminPages(), callers);
        timeline.record(EventKind.STARTED, "host:" + settings.host().name(), "started");
        LOG.atInfo().log(
                "daemon: %s listens on %s",
                settings.host().name(), settings.host().edge());
    }

    private Admin adminPages() {
        return new AdminPages(this).pages();
    }

    private synchronized void configure(Configuration next) {
        if (next.number() <= configuration.number()) {
            return;
        }
        for (Key key : configuration.keys().values()) {
            if (next.keyByDigest(key.digest()).isEmpty()) {
                timeline.record(EventKind.KEY_WITHDRAWN, "key:" + key.name(), "withdrawn from " + key.team());
            }
        }
        keys = keys.configure(next);
        configuration = next;
    }

    /** Returns the settings. */
    public Settings settings() {
        return settings;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the time line of this host. */
    public Timeline timeline() {
        return timeline;
    }

    /** Returns whether the platform answered the last call. */
    boolean platformReachable() {
        return feed.platformReachable();
    }

    /** Stops at once; requests in flight are cut. */
    public void stop() {
        edge.stop();
        feed.stop();
        ticker.shutdownNow();
    }
}
