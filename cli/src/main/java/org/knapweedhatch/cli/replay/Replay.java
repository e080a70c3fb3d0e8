package org.knapweedhatch.cli.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.knapweedhatch.cli.replay.check.Breaches;
import org.knapweedhatch.cli.replay.check.Observer;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.cli.replay.check.Tally;
import org.knapweedhatch.cli.replay.trace.Trace;
import org.knapweedhatch.cli.replay.trace.TraceLine;

/**
 * Plays a trace through a fleet on a manual clock and checks every promise.
 *
 * <pre>{@code
 * Finding finding = Replay.of(trace).run(Naive::new);
 * }</pre>
 */
final class Replay {

    private static final long NANOS_PER_MICRO = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Time after the last line in which requests still end. */
    private static final long SETTLE_NANOS = 8_000_000_000L;
    /** Time before the first line in which hosts find each other. */
    static final long WARM_UP_NANOS = 15_000_000_000L;

    private final Trace trace;
    private final EventQueue queue = new EventQueue();
    private final Breaches breaches = new Breaches();
    private FleetModel fleet;
    private Observer observer;
    private long requests;

    private Replay(Trace trace) {
        this.trace = trace;
    }

    /** Returns a replay of a trace; it can run once. */
    static Replay of(Trace trace) {
        return new Replay(trace);
    }

    /** Runs the whole trace through the fleet that a factory makes. */
    Finding run(Function<Stage, FleetModel> factory) {
        Tally tally = new Tally(trace.header().deployment().configuration());
        List<Observer> observers = new ArrayList<>(Checks.all(breaches));
        observers.add(tally);
        observer = new Observers(observers);
        Recorder recorder = new Recorder(queue.time());
        TraceLine.Header header = trace.header();
        Stage stage = new Stage(header.deployment(), header.seed(), queue, observer, recorder);
        fleet = factory.apply(stage);
        fleet.start();
        long index = 0;
        for (TraceLine line : trace.lines()) {
            schedule(line, stage, index++);
        }
        long end = WARM_UP_NANOS + header.endMicros() * NANOS_PER_MICRO + SETTLE_NANOS;
        queue.runUntil(end);
        observer.ended(queue.now());
        StatedOutcomes.check(trace.expectations(), tally, breaches, queue.now());
        return new Finding(fleet.name(), header, breaches, tally, recorder);
    }

    private void schedule(TraceLine line, Stage stage, long index) {
        long at = nanos(line.atMicros());
        if (line instanceof TraceLine.Arrival arrival) {
            queue.at(at, () -> arrive(arrival));
        } else if (line instanceof TraceLine.Load load) {
            SplittableRandom random = new SplittableRandom(trace.header().seed() * 1_000_003 + index);
            scheduleNext(load, at, random);
        } else if (line instanceof TraceLine.Release release) {
            queue.at(at, () -> fleet.release(release.operator(), release.change()));
        } else if (line instanceof TraceLine.Failure failure) {
            queue.at(at, () -> fail(failure, stage, true));
            if (failure.forMicros() > 0) {
                queue.at(nanos(failure.atMicros() + failure.forMicros()), () -> fail(failure, stage, false));
            }
        }
    }

    private void fail(TraceLine.Failure failure, Stage stage, boolean begins) {
        SharedFailures.apply(failure, begins, stage);
        fleet.fail(failure, begins);
    }

    private void scheduleNext(TraceLine.Load load, long fromNanos, SplittableRandom random) {
        double gapSeconds = -Math.log(1 - random.nextDouble()) / load.perSecond();
        long at = fromNanos + (long) (gapSeconds * NANOS_PER_SECOND);
        if (at < nanos(load.atMicros() + load.forMicros())) {
            queue.at(at, () -> {
                arrive(load.request());
                scheduleNext(load, at, random);
            });
        }
    }

    private void arrive(TraceLine.Arrival arrival) {
        Request request = new Request(++requests, queue.now(), arrival);
        observer.arrived(request);
        fleet.arrive(request);
    }

    private static long nanos(long micros) {
        return WARM_UP_NANOS + micros * NANOS_PER_MICRO;
    }
}
