package org.knapweedhatch.daemon;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.admin.Metrics;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fleet.Peers;
import org.knapweedhatch.front.FrontContext;
import org.knapweedhatch.front.FrontServer;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.member.View;
import org.knapweedhatch.message.HeaderScheme;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.place.Placer;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.platform.wire.EvacuationEntry;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.platform.wire.PlatformHeaders;
import org.knapweedhatch.platform.wire.TargetEntry;
import org.knapweedhatch.settings.FrontSettings;
import org.knapweedhatch.steer.Directory;
import org.knapweedhatch.store.Beliefs;
import org.knapweedhatch.store.KindFeed;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/**
 * One host on the users' platform: every part of it, wired together.
 *
 * <pre>{@code
 * FrontHost host = FrontHost.start(settings, log, TimeSource.system());
 * host.leave();
 * }</pre>
 */
public final class FrontHost implements FrontContext {

    /** Part of the time to stop that is kept for the end of the process itself. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    private static final Duration POLL = Duration.ofMillis(50);

    private final FrontSettings settings;
    private final TimeSource time;
    private final EventLog log;
    private final Beliefs beliefs;
    private final Placer placer;
    private final Metrics metrics = Metrics.create();
    private final HttpCaller caller = HttpCaller.create();
    private final Peers peers;
    private final FrontServer server;
    private final FrontPages pages;
    private final List<KindFeed> feeds;
    private volatile Directory directory;
    private volatile boolean leaving;

    private FrontHost(FrontSettings settings, EventLog log, TimeSource time) {
        this.settings = settings;
        this.time = time;
        this.log = log;
        Host self = settings.host();
        beliefs = Beliefs.of(settings.domains(), time, log);
        placer = Placer.of(self.domain(), self.region());
        beliefs.onTargets(placer::targets);
        peers = Peers.builder(self, settings.secret(), time)
                .seeds(settings.seeds())
                .receiver(this::receive)
                .viewed(this::viewed)
                .eachTick(beliefs::tick)
                .configuration(() -> ready() ? beliefs.configuration().number() : 0)
                .start();
        directory = Directory.of(peers.view());
        ObjectApi store = HttpPlatform.create(caller, URI.create("http://" + settings.platform()), "");
        feeds = List.of(
                KindFeed.start(store, OperatorConfiguration.PREFIX, beliefs.configurationSink()),
                KindFeed.start(store, TargetEntry.PREFIX, beliefs.targetSink()),
                KindFeed.start(store, EvacuationEntry.PREFIX, beliefs.evacuationSink()));
        server = FrontServer.listen(self.edge(), this);
        Admin admin = Admin.builder()
                .page("/-/live", query -> Admin.Reply.text(200, "live\n"))
                .page("/-/metrics", query -> Admin.Reply.text(200, metrics.scrape()))
                .build();
        pages = FrontPages.listen(settings, this::ready, () -> directory, admin);
    }

    /** Starts a host; throws {@link RuntimeException} where an address cannot be bound. */
    public static FrontHost start(FrontSettings settings, EventLog log, TimeSource time) {
        FrontHost host = new FrontHost(settings, log, time);
        log.line(LineKind.PROCESS)
                .put("outcome", "started")
                .put("domain", settings.host().domain())
                .put("edge", settings.host().edge().toString())
                .put("incarnation", host.peers.incarnation())
                .write();
        return host;
    }

    private void viewed(View view) {
        directory = Directory.of(view);
    }

    private void receive(String from, long incarnation, PeerMessage message) {
        // Hosts exchange nothing but membership yet.
    }

    /** Returns whether this host takes requests. */
    public boolean ready() {
        return beliefs.complete() && !leaving;
    }

    @Override
    public TimeSource time() {
        return time;
    }

    @Override
    public EventLog log() {
        return log;
    }

    @Override
    public HeaderScheme headers() {
        return PlatformHeaders.scheme();
    }

    @Override
    public Configuration configuration() {
        return beliefs.configuration();
    }

    @Override
    public KeyRing keys() {
        return beliefs.keys();
    }

    @Override
    public Placer placer() {
        return placer;
    }

    @Override
    public Optional<Duration> spend(String team) {
        return Optional.empty();
    }

    @Override
    public boolean mayRetry(String service) {
        return true;
    }

    @Override
    public void sentFirst(String service) {}

    @Override
    public boolean leaving() {
        return leaving;
    }

    /**
     * Stops as planned: out of the directory, serves on while callers may know this host, ends what runs. Blocks until
     * all that is done or its time is over.
     */
    public void leave() {
        long begun = time.nanos();
        leaving = true;
        log.line(LineKind.PROCESS).put("outcome", "leaving").write();
        peers.leave();
        Duration longest = settings.terms().stopGrace().minus(STOP_MARGIN);
        while (time.since(begun).compareTo(longest) < 0) {
            pause();
        }
        server.stopAccepting();
        server.closeIdle();
        stop();
        log.line(LineKind.PROCESS)
                .put("outcome", "stopped")
                .putNanos("tookMs", time.nanos() - begun)
                .write();
    }

    private static void pause() {
        try {
            Thread.sleep(POLL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops at once; requests in progress are cut. */
    public void stop() {
        feeds.forEach(KindFeed::stop);
        server.stop();
        peers.stop();
        pages.stop();
        caller.close();
    }
}
