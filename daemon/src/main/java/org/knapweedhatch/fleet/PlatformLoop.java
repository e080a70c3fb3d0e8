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

/** The threads that wait for the platform: one on the watch, one for writes and the host list. */
final class PlatformLoop {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration WATCH_WAIT = Duration.ofSeconds(25);

    /** Wait of the first watch after a failure, so that a platform that is back is soon noticed. */
    private static final Duration PROBE_WAIT = Duration.ofSeconds(1);

    private static final Duration CALL_PACE = Duration.ofMillis(500);
    private static final int CALL_BURST = 10;
    private static final Duration FIRST_PAUSE = Duration.ofMillis(200);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(5);
    private static final long IDLE_MS = 50;

    /** Between two readings of the host list, and while this host knows no other one. */
    private static final long LIST_MS = 30_000;

    private static final long LIST_ALONE_MS = 2_000;

    private final ObjectApi api;
    private final ObjectSync sync;
    private final TimeSource time;
    private final EventSink events;
    private final BooleanSupplier alone;
    private final Consumer<List<ListedHost>> listed;
    private final CallBudget budget;
    private final BackOff watchPause;
    private final BackOff callPause;
    private final LongAdder calls = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final AtomicBoolean reachable = new AtomicBoolean(true);
    private final List<Thread> threads;
    private volatile boolean stopped;
    private long listDueNanos;

    PlatformLoop(
            ObjectApi api,
            TimeSource time,
            EventSink events,
            String host,
            BooleanSupplier alone,
            Consumer<List<ListedHost>> listed) {
        this.api = api;
        this.time = time;
        this.events = events;
        this.alone = alone;
        this.listed = listed;
        sync = new ObjectSync(api);
        budget = CallBudget.of(time, CALL_PACE, CALL_BURST);
        watchPause = new BackOff(FIRST_PAUSE, MAX_PAUSE, host.hashCode());
        callPause = new BackOff(FIRST_PAUSE, MAX_PAUSE, host.hashCode() + 1L);
        listDueNanos = time.nanos();
        threads = List.of(thread(this::watch, "fleet-watch-" + host), thread(this::call, "fleet-calls-" + host));
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

    /** Adds an object; it is read as soon as the platform answers. */
    void add(SharedObject object) {
        Thread reader = thread(() -> readFirst(object), "fleet-read-" + object.name());
        reader.start();
    }

    private void readFirst(SharedObject object) {
        BackOff pause = new BackOff(FIRST_PAUSE, MAX_PAUSE, time.nanos());
        sync.add(object);
        while (!stopped) {
            pause(budget.reserve());
            calls.increment();
            Result<?> read = sync.read(object);
            boolean answered = read.isOk() || PlatformError.MISSING.matches(read.fault());
            if (answered) {
                return;
            }
            failed(read.fault());
            pause(pause.failed());
        }
    }

    private void watch() {
        while (!stopped) {
            pause(budget.reserve());
            calls.increment();
            Result<Integer> changed = sync.watch(jittered(watchPause.failing() ? PROBE_WAIT : WATCH_WAIT));
            if (changed.isOk()) {
                succeeded();
                watchPause.succeeded();
            } else {
                failed(changed.fault());
                pause(watchPause.failed());
            }
        }
    }

    private void call() {
        while (!stopped) {
            pause(Duration.ofMillis(IDLE_MS));
            if (!stopped) {
                sync.objects().forEach(this::write);
                list();
            }
        }
    }

    private void write(SharedObject object) {
        object.write().ifPresent(write -> {
            pause(budget.reserve());
            calls.increment();
            SharedObject.Outcome outcome = sync.attempt(object, write);
            if (outcome == SharedObject.Outcome.WON) {
                callPause.succeeded();
            } else {
                calls.increment();
                pause(callPause.failed());
            }
        });
    }

    private void list() {
        if (time.nanos() < listDueNanos) {
            return;
        }
        pause(budget.reserve());
        calls.increment();
        Result<List<ListedHost>> hosts = api.hosts();
        if (hosts.isOk()) {
            succeeded();
            listed.accept(hosts.orThrow());
        } else {
            failed(hosts.fault());
        }
        Duration next = jittered(Duration.ofMillis(alone.getAsBoolean() ? LIST_ALONE_MS : LIST_MS));
        listDueNanos = time.nanos() + next.toNanos();
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

    /** Returns a span between half of the given one and the whole. */
    private static Duration jittered(Duration span) {
        return Duration.ofNanos(ThreadLocalRandom.current().nextLong(span.toNanos() / 2, span.toNanos() + 1));
    }

    private void pause(Duration span) {
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
