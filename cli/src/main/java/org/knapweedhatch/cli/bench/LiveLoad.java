package org.knapweedhatch.cli.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.http.HttpAnswer;
import org.knapweedhatch.http.HttpCall;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.message.HeaderNames;
import org.knapweedhatch.world.Address;

/**
 * Sends requests to live hosts at a fixed rate, however late the answers are, and measures each from the moment at
 * which it was due.
 */
final class LiveLoad {

    private static final long MAX_MICROS = Duration.ofMinutes(1).toNanos() / 1_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int SENDERS = 128;
    private static final long LONGEST_WAIT_SECONDS = 30;

    private final List<Address> hosts;
    private final String path;
    private final String key;
    private final TimeSource time = TimeSource.system();
    private final Histogram latency = new SynchronizedHistogram(MAX_MICROS, 3);
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong unknown = new AtomicLong();

    LiveLoad(List<Address> hosts, String path, String key) {
        this.hosts = new ArrayList<>(hosts);
        this.path = path;
        this.key = key;
    }

    Measurements run(double perSecond, Duration lasting) {
        long total = (long) (perSecond * lasting.toNanos() / NANOS_PER_SECOND);
        ExecutorService senders = Executors.newFixedThreadPool(SENDERS);
        long start = time.nanos();
        try (HttpCaller caller = HttpCaller.create()) {
            for (long i = 0; i < total; i++) {
                long due = start + (long) (i * NANOS_PER_SECOND / perSecond);
                LockSupport.parkNanos(due - time.nanos());
                Address host = hosts.get((int) (i % hosts.size()));
                senders.execute(() -> send(caller, host, due));
            }
            senders.shutdown();
            if (!senders.awaitTermination(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS)) {
                senders.shutdownNow();
            }
        } catch (InterruptedException e) {
            senders.shutdownNow();
            Thread.currentThread().interrupt();
        }
        return new Measurements(
                "live",
                total,
                answered.get(),
                unknown.get(),
                Measurements.NOT_KNOWN,
                Measurements.NOT_KNOWN,
                Measurements.NOT_KNOWN,
                Measurements.NOT_KNOWN,
                Measurements.latencies(latency));
    }

    private void send(HttpCaller caller, Address host, long due) {
        HttpCall call = HttpCall.get(URI.create("http://" + host + path));
        Result<HttpAnswer> answer = caller.call(key.isEmpty() ? call : call.header(HeaderNames.KEY, key));
        if (answer.isOk() && answer.orThrow().isSuccess()) {
            answered.incrementAndGet();
            latency.recordValue(Math.min(MAX_MICROS, (time.nanos() - due) / NANOS_PER_MICRO));
        } else if (!answer.isOk() && answer.fault().step() == Step.RECEIVE) {
            unknown.incrementAndGet();
        }
    }
}
