package org.knapweedhatch.fleet;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.PlatformError;
import org.knapweedhatch.timeline.EventKind;
import org.knapweedhatch.timeline.EventSink;

/** Calls the platform on two threads: one watches the shared objects, one writes them and reads the host list. */
final class PlatformPoller {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(25);

    /** Wait of the first watch after a failure; short, so that the recovery of the platform is noticed soon. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration CALL_INTERVAL = Duration.ofMillis(500);
    private static final int CALL_BURST = 10;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);
    private static final long POLL_INTERVAL_MS = 50;

    /** Interval between two reads of the host list once other hosts are known. */
    private static final long LIST_INTERVAL_MS = 30_000;

    /** The same while no other host is known. */
    private static final long LIST_INTERVAL_ALONE_MS = 2_000;

    private final ObjectApi api;
    private final ObjectSync sync;
    private final TimeSource time;
    private final EventSink events;
    private final BooleanSupplier alone;
    private final Consumer<List<ListedHost>> hostListListener;
    private final CallRateLimiter rateLimiter;
    private final BackOff watchBackOff;
    private final BackOff callBackOff;
    private final LongAdder calls = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final AtomicBoolean reachable = new AtomicBoolean(true);
    private final List<Thread> threads;
    private volatile boolean stopped;
    private long nextListNanos;

    PlatformPoller(
            ObjectApi api,
            TimeSource time,
            EventSink events,
            String host,
            BooleanSupplier alone,
            Consumer<List<ListedHost>> hostListListener) {
        this.api = api;
        this.time = time;
        this.events = events;
        this.alone = alone;
        this.hostListListener = hostListListener;
        sync = new ObjectSync(api);
        rateLimiter = CallRateLimiter.of(time, CALL_INTERVAL, CALL_BURST);
        watchBackOff = new BackOff(INITIAL_BACKOFF, MAX_BACKOFF, host.hashCode());
        callBackOff = new BackOff(INITIAL_BACKOFF, MAX_BACKOFF, host.hashCode() + 1L);
        nextListNanos = time.nanos();
        threads = List.of(thread(this::watch, "fleet-watch-" + host), thread(this::runCalls, "fleet-calls-" + host));
    }

    private static Thread thread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    void start() {
        threads.forEach(Thread::start);
    }

    void stop() {
        stopped = true;
        threads.forEach(Thread::interrupt);
    }

    /** Adds an object, which is read as soon as the platform answers. */
    void add(SharedObject object) {
        Thread reader = thread(() -> readUntilAnswered(object), "fleet-read-" + object.name());
        reader.start();
    }

    private void readUntilAnswered(SharedObject object) {
        BackOff backOff = new BackOff(INITIAL_BACKOFF, MAX_BACKOFF, time.nanos());
        sync.add(object);
        while (!stopped) {
            sleep(rateLimiter.reserve());
            calls.increment();
            Result<?> read = sync.read(object);
            boolean answered = read.isOk() || PlatformError.MISSING.matches(read.fault());
            if (answered) {
                return;
            }
            failed(read.fault());
            sleep(backOff.nextDelay());
        }
    }

    private void watch() {
        while (!stopped) {
            sleep(rateLimiter.reserve());
            calls.increment();
            Result<Integer> changed = sync.watch(jittered(watchBackOff.isFailing() ? PROBE_TIMEOUT : WATCH_TIMEOUT));
            if (changed.isOk()) {
                succeeded();
                watchBackOff.reset();
            } else {
                failed(changed.fault());
                sleep(watchBackOff.nextDelay());
            }
        }
    }

    private void runCalls() {
        while (!stopped) {
            sleep(Duration.ofMillis(POLL_INTERVAL_MS));
            if (!stopped) {
                sync.objects().forEach(this::write);
                listHosts();
            }
        }
    }

    private void write(SharedObject object) {
        object.nextWrite().ifPresent(write -> {
            sleep(rateLimiter.reserve());
            calls.increment();
            SharedObject.Outcome outcome = sync.attempt(object, write);
            if (outcome == SharedObject.Outcome.WON) {
                callBackOff.reset();
            } else {
                calls.increment();
                sleep(callBackOff.nextDelay());
            }
        });
    }

    private void listHosts() {
        if (time.nanos() < nextListNanos) {
            return;
        }
        sleep(rateLimiter.reserve());
        calls.increment();
        Result<List<ListedHost>> hosts = api.hosts();
        if (hosts.isOk()) {
            succeeded();
            hostListListener.accept(hosts.orThrow());
        } else {
            failed(hosts.fault());
        }
        Duration next = jittered(Duration.ofMillis(alone.getAsBoolean() ? LIST_INTERVAL_ALONE_MS : LIST_INTERVAL_MS));
        nextListNanos = time.nanos() + next.toNanos();
    }

    private void succeeded() {
        if (reachable.compareAndSet(false, true)) {
            LOG.atInfo().log("fleet: the platform answers again");
            events.record(EventKind.PLATFORM, "platform", "reachable");
        }
    }

    private void failed(Fault fault) {
        failures.increment();
        if (!stopped && reachable.compareAndSet(true, false)) {
            LOG.atWarning().log("fleet: the platform does not answer: %s", fault);
            events.record(EventKind.PLATFORM, "platform", "unreachable");
        }
    }

    boolean reachable() {
        return reachable.get();
    }

    Map<String, LongSupplier> counters() {
        return Map.of("platform.calls", calls::sum, "platform.failures", failures::sum);
    }

    /** Returns a random span between half of the given one and all of it. */
    private static Duration jittered(Duration span) {
        return Duration.ofNanos(ThreadLocalRandom.current().nextLong(span.toNanos() / 2, span.toNanos() + 1));
    }

    private void sleep(Duration span) {
        if (span.isZero()) {
            return;
        }
        try {
            Thread.sleep(span.toMillis(), span.toNanosPart() % 1_000_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopped = true;
        }
    }
}
