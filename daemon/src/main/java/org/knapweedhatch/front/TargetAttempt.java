package org.knapweedhatch.front;

import java.time.Duration;
import java.util.Optional;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.place.AttemptOutcome;
import org.knapweedhatch.place.Placement;
import org.knapweedhatch.place.ServerLoad;
import org.knapweedhatch.target.KnownTarget;

/**
 * One attempt to send a caller's request to a target.
 *
 * <p>For use on the event loop of the caller's connection only.
 */
final class TargetAttempt implements TargetConnectionPool.ConnectionListener, TargetConnection.Listener {

    /** Status of a target for which the request was not meant; such a request has not run. */
    static final int MISDIRECTED_STATUS = 421;

    /** Requests that must not run twice go only over connections idle for less than this time. */
    private static final Duration NON_IDEMPOTENT_MAX_IDLE = Duration.ofSeconds(2);

    /** Idle time that no connection reaches. */
    private static final Duration UNLIMITED_IDLE = Duration.ofDays(1);

    private final FrontServer server;
    private final FrontContext context;
    private final CallerRequest request;
    private final Placement.Sent placement;
    private final KnownTarget target;
    private final QueuedCaller from;
    private final String service;
    private final long startNanos;
    private TargetConnection connection;
    private boolean sendStarted;
    private boolean ended;

    /** Creates an attempt; {@code from} is the request in the queue if it comes from there, else null. */
    TargetAttempt(
            FrontServer server, CallerRequest request, String service, Placement.Sent placement, QueuedCaller from) {
        this.server = server;
        this.request = request;
        this.service = service;
        this.placement = placement;
        this.from = from;
        context = server.context();
        target = placement.target();
        startNanos = context.time().nanos();
    }

    void start() {
        Duration maxIdle = request.mayRepeat() ? UNLIMITED_IDLE : NON_IDEMPOTENT_MAX_IDLE;
        server.targetConnections().acquire(target, maxIdle, this);
    }

    @Override
    public void onConnected(TargetConnection opened) {
        if (ended) {
            opened.release();
            return;
        }
        connection = opened;
        request.runIfConnected(this::send);
    }

    private void send() {
        if (ended) {
            return;
        }
        sendStarted = true;
        connection.send(request.countAttempt(target), this);
    }

    @Override
    public void onUnreachable(String why) {
        if (!ended) {
            recordEnd(AttemptOutcome.UNREACHABLE, Optional.empty());
            logEnd(why, AttemptOutcome.UNREACHABLE);
            request.attemptFailed(this, false);
        }
    }

    @Override
    public void onResponse(TargetResponse received) {
        if (ended) {
            received.body().release();
            return;
        }
        int status = received.status().code();
        boolean notRun = connection.isNotRun(status, received.headers());
        AttemptOutcome ending = endingOf(status, notRun);
        recordEnd(ending, statedLoad(received));
        if (notRun) {
            received.body().release();
            logEnd("status " + status, ending);
            request.attemptFailed(this, false);
        } else {
            request.responseReceived(this, received, ending);
        }
    }

    private static AttemptOutcome endingOf(int status, boolean notRun) {
        if (notRun) {
            return status == MISDIRECTED_STATUS ? AttemptOutcome.MISDIRECTED : AttemptOutcome.SHED;
        }
        return status >= 500 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
    }

    @Override
    public void onBroken(String why, boolean written) {
        if (!ended) {
            recordEnd(AttemptOutcome.BROKEN, Optional.empty());
            logEnd(why, AttemptOutcome.BROKEN);
            request.attemptFailed(this, written);
        }
    }

    /** Returns the load that the target states; a malformed header is logged and otherwise ignored. */
    private Optional<ServerLoad> statedLoad(TargetResponse received) {
        String header = received.headers().get(context.headerScheme().load());
        if (header == null) {
            return Optional.empty();
        }
        Optional<ServerLoad> load = ServerLoad.parse(header, context.time().nanos());
        if (load.isEmpty()) {
            request.logLine(LineKind.LOAD)
                    .put("target", target.name())
                    .put("load", header)
                    .put("why", "malformed load header")
                    .write();
        }
        return load;
    }

    private void recordEnd(AttemptOutcome ending, Optional<ServerLoad> load) {
        ended = true;
        server.bytesInFlight().remove(target.name(), request.received());
        context.requestMetrics().recordAttempt(service, ending, tookNanos());
        if (context.placer().requestEnded(placement, request.affinityKey(), ending, tookNanos(), load)) {
            context.targetReachable(target.name());
        }
        if (from != null || context.queuesRequests()) {
            String object = from == null ? "" : from.facts().object();
            server.queues().attemptEnded(service, target.name(), object);
        }
    }

    void logEnd(String why, AttemptOutcome ending) {
        request.logLine(LineKind.ATTEMPT)
                .put("target", target.name())
                .put("ending", ending.name())
                .put("why", why)
                .putNanos("tookMs", tookNanos())
                .write();
    }

    void cancel(AttemptOutcome ending) {
        if (!ended) {
            recordEnd(ending, Optional.empty());
            if (connection == null) {
                return;
            }
            if (sendStarted) {
                connection.cancel();
            } else {
                connection.release();
            }
        }
    }

    KnownTarget target() {
        return target;
    }

    /** Returns the time since the target was chosen. */
    long tookNanos() {
        return context.time().nanos() - startNanos;
    }

    boolean isSendStarted() {
        return sendStarted;
    }

    /** Returns whether the complete request has left this process, so that the target may run it. */
    boolean isWritten() {
        return sendStarted && connection.isWritten();
    }
}
