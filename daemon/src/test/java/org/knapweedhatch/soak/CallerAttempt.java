package org.knapweedhatch.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One attempt of a caller, as the caller and the targets saw it; thread-safe. */
final class CallerAttempt {

    private static final long NANOS_PER_MS = 1_000_000;

    /** Status of a host's response in place of one that its target may still give. */
    private static final int LOST = 502;

    /** One run at a target; the end is 0 while it lasts. */
    private static final class Run {
        private final String target;
        private final long startNanos;
        private long endNanos;
        private boolean completed;

        Run(String target, long startNanos) {
            this.target = target;
            this.startNanos = startNanos;
        }
    }

    private final String id;
    private final String host;
    private final boolean mayRepeat;
    private final Duration timeout;
    private final List<Run> runs = new ArrayList<>();
    private int arrivals;
    private long sentNanos;
    private long lastByteNanos;
    private long endNanos;
    private int status;

    CallerAttempt(String id, String host, boolean mayRepeat, Duration timeout) {
        this.id = id;
        this.host = host;
        this.mayRepeat = mayRepeat;
        this.timeout = timeout;
    }

    String id() {
        return id;
    }

    String host() {
        return host;
    }

    boolean mayRepeat() {
        return mayRepeat;
    }

    synchronized void sending(long nanos) {
        sentNanos = nanos;
        lastByteNanos = nanos;
    }

    synchronized void sent(long nanos) {
        lastByteNanos = nanos;
    }

    synchronized void arrived() {
        arrivals++;
    }

    synchronized void started(String target, long nanos) {
        runs.add(new Run(target, nanos));
    }

    /** Records the end of a run: completed by the target, or dropped as the host closed its connection. */
    synchronized void finished(String target, boolean completed, long nanos) {
        runs.stream()
                .filter(run -> run.target.equals(target) && run.endNanos == 0)
                .forEach(run -> {
                    run.endNanos = nanos;
                    run.completed = completed;
                });
    }

    /** Records the whole response, or the end of the connection without one as status 0. */
    synchronized void ended(int withStatus, long nanos) {
        status = withStatus;
        endNanos = nanos;
    }

    synchronized long sentNanos() {
        return sentNanos;
    }

    synchronized int runs() {
        return runs.size();
    }

    synchronized int status() {
        return status;
    }

    /**
     * Returns whether the connection ended without a response though a target had received the request, or the host
     * answered in place of a target that was at work.
     */
    synchronized boolean isLost() {
        boolean brokenOff = status == LOST && runs.stream().anyMatch(run -> !run.completed);
        return endNanos != 0 && (status == 0 && arrivals > 0 || brokenOff);
    }

    /** Returns whether the connection ended at or after the time-out of the route. */
    synchronized boolean isTimedOut() {
        return endNanos - sentNanos >= timeout.toNanos();
    }

    /** Returns whether a target worked on it at some time between two moments. */
    synchronized boolean ranBetween(long fromNanos, long toNanos) {
        return runs.stream()
                .anyMatch(run -> run.startNanos <= toNanos && (run.endNanos == 0 || run.endNanos >= fromNanos));
    }

    /** Describes the attempt with times in milliseconds since a moment. */
    synchronized String describe(long sinceNanos) {
        StringBuilder text = new StringBuilder();
        text.append(id).append(mayRepeat ? " safe" : " unsafe").append(" at ").append(host);
        text.append(" sent ").append(ms(sentNanos, sinceNanos)).append("..").append(ms(lastByteNanos, sinceNanos));
        text.append(" end ").append(ms(endNanos, sinceNanos)).append(" status ").append(status);
        text.append(" arrivals ").append(arrivals);
        for (Run run : runs) {
            text.append(" [").append(run.target).append(' ').append(ms(run.startNanos, sinceNanos));
            text.append("..").append(run.endNanos == 0 ? "" : ms(run.endNanos, sinceNanos));
            text.append(run.completed ? "]" : " dropped]");
        }
        return text.toString();
    }

    private static long ms(long nanos, long sinceNanos) {
        return (nanos - sinceNanos) / NANOS_PER_MS;
    }
}
