package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.answer.Outcome;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.place.AttemptOutcome;
import org.knapweedhatch.place.Placement;
import org.knapweedhatch.place.PlacementRequest;
import org.knapweedhatch.quota.RateDecision;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.RequestKind;

/**
 * One request of a caller, from its head to its response: admission, attempts at targets, retries and the deadline.
 *
 * <p>For use on the event loop of the caller's connection only.
 */
final class CallerRequest {

    /** Minimum time left for an attempt; with less, the request is refused instead. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(10);

    /** Statuses by which callers are promised that a request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, TargetAttempt.MISDIRECTED_STATUS, 429, 503);

    /** Retry-After of refusals without a forecast; the typical service time of a target. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

    private final FrontServer server;
    private final FrontContext context;
    private final CallerConnection connection;
    private final HttpRequest head;
    private final String id;
    private final long arrivedNanos;
    private final BufferedBody body;
    private final Set<String> triedTargets = new HashSet<>();
    private Admission.Admitted admitted;
    private RateDecision.Granted granted;
    private long deadlineNanos;
    private ScheduledFuture<?> deadlineTimer;
    /** The request in the queue of its service; null if it was not offered to it. */
    private QueuedCaller queued;

    private TargetAttempt attempt;
    /** The second attempt, while both are in progress; else null. */
    private TargetAttempt second;
    /** Null if the request gets no second attempt. */
    private RequestHedge hedge;

    private long firstAttemptNanos;
    private int attemptsSent;
    private boolean mayHaveRun;
    /** Response of a target that failed, passed on if no retry brings another one; null if there is none. */
    private FailedResponse failedResponse;

    private boolean callerDisconnected;
    private final long headMemory;
    private boolean finished;
    private Response response;

    private record FailedResponse(KnownTarget target, TargetResponse received, long targetNanos) {}

    /** A response to the caller. */
    record Response(int status, HttpHeaders headers, ByteBuf body) {}

    CallerRequest(FrontServer server, CallerConnection connection, HttpRequest head, long headMemory) {
        this.server = server;
        this.connection = connection;
        this.head = head;
        this.headMemory = headMemory;
        body = BufferedBody.of(connection.channel().alloc(), server.memory());
        context = server.context();
        arrivedNanos = context.time().nanos();
        id = Optional.ofNullable(head.headers().get(context.headerScheme().requestId()))
                .orElse("");
    }

    HttpRequest head() {
        return head;
    }

    /** Returns the id that the caller set; empty if there is none. */
    String id() {
        return id;
    }

    /** Returns the response; empty until the request is finished. */
    Optional<Response> response() {
        return Optional.ofNullable(response);
    }

    /** Appends a copy of a part of the body; returns false, and appends nothing, if there is no memory left. */
    boolean appendBody(ByteBuf part) {
        return body.append(part);
    }

    /** Returns the number of bytes that the connection has reserved for the head. */
    long headMemory() {
        return headMemory;
    }

    /** Returns the number of bytes reserved for the body. */
    long reservedBody() {
        return body.reserved();
    }

    /** Returns the number of body bytes received so far. */
    int received() {
        return body.readableBytes();
    }

    /** Admits the request and starts the first attempt; called once the request has been received completely. */
    void received(EventLoop loop) {
        if (finished) {
            return;
        }
        Admission.Decision decision = server.admission().decide(head);
        if (decision instanceof Admission.Refused refused) {
            refuse(refused.refusal(), refused.team());
            return;
        }
        Admission.Admitted allowed = (Admission.Admitted) decision;
        if (allowed.team().isEmpty()) {
            start(allowed, loop);
            return;
        }
        CompletableFuture<RateDecision> rate = context.acquireRate(allowed.team());
        if (rate.isDone()) {
            rateDecided(allowed, rate.join(), loop);
        } else {
            rate.thenAcceptAsync(decided -> rateDecided(allowed, decided, loop), loop);
        }
    }

    private void rateDecided(Admission.Admitted allowed, RateDecision decided, EventLoop loop) {
        if (decided instanceof RateDecision.Granted token) {
            granted = token;
            if (finished) {
                context.refundRate(allowed.team(), token);
            } else {
                start(allowed, loop);
            }
        } else if (!finished) {
            Admission.Refused refused =
                    server.admission().overLimit(head, allowed.team(), (RateDecision.Refused) decided);
            refuse(refused.refusal(), refused.team());
        }
    }

    private void start(Admission.Admitted allowed, EventLoop loop) {
        admitted = allowed;
        Duration timeout = RequestHeads.timeout(
                head, context.headerScheme(), admitted.route().policy().timeout());
        // The caller's timeout runs from when it sent the request, which a lagging loop reads late.
        deadlineNanos = arrivedNanos + timeout.toNanos() - server.maxReadDelayNanos();
        deadlineTimer =
                loop.schedule(this::onDeadline, deadlineNanos - context.time().nanos(), TimeUnit.NANOSECONDS);
        if (context.queuesRequests() && context.stop().isEmpty() && hasTimeForAttempt()) {
            context.placer().countDemand(admitted.service());
            queued = new QueuedCaller(server, this, admitted, affinityKey(), arrivedNanos, deadlineNanos);
            queued.offer();
        } else {
            startAttempt();
        }
    }

    Duration timeLeft() {
        return Duration.ofNanos(deadlineNanos - context.time().nanos());
    }

    private boolean hasTimeForAttempt() {
        return timeLeft().compareTo(MIN_ATTEMPT_TIME) >= 0;
    }

    private void startAttempt() {
        if (!hasTimeForAttempt()) {
            refundIfUnsent();
            refuse(Refusal.of(Reason.BUSY).retryAfter(DEFAULT_RETRY_AFTER), admitted.team());
            return;
        }
        Placement placement = context.placer().place(placementRequest(timeLeft()));
        if (placement instanceof Placement.Refused refused) {
            refusePlacement(refused);
            return;
        }
        startAttempt((Placement.Sent) placement, null);
    }

    /** Starts an attempt; {@code from} is the request in the queue if the attempt comes from there, else null. */
    void startAttempt(Placement.Sent sent, QueuedCaller from) {
        if (!server.bytesInFlight().tryAdd(sent.target().name(), body.readableBytes())) {
            passOver(sent, from);
            return;
        }
        EventLog.Line line = logLine(LineKind.SENT)
                .put("target", sent.target().name())
                .put("busy", sent.inFlight())
                .putNanos("waitMs", sent.queueWaitNanos())
                .put("candidates", sent.candidateCount())
                .put("tries", triedTargets.size())
                .putNanos("queuedMs", connection.acceptDelayNanos())
                .putNanos("lagMs", server.maxReadDelayNanos());
        if (from != null) {
            line.putNanos("heldMs", from.heldNanos());
        }
        line.write();
        attempt = new TargetAttempt(server, this, admitted.service(), sent, from);
        if (hedge == null && server.hedges().enabled() && mayRepeat()) {
            firstAttemptNanos = context.time().nanos();
            hedge = new RequestHedge(
                    server, this, admitted, connection.channel().eventLoop());
            hedge.schedule();
        }
        attempt.start();
    }

    /** Returns whether the request waits for the response of one attempt, beside which another may be sent. */
    boolean awaitsOneAttempt() {
        return !finished && attempt != null && second == null;
    }

    int attemptsSent() {
        return attemptsSent;
    }

    /** Returns the names of the targets that have the request or had it. */
    Set<String> usedTargets() {
        Set<String> used = new HashSet<>(triedTargets);
        used.add(attempt.target().name());
        return used;
    }

    /** Sends the request to another target beside the first attempt. */
    void startSecondAttempt(Placement.Sent sent) {
        if (!server.bytesInFlight().tryAdd(sent.target().name(), body.readableBytes())) {
            context.placer().requestEnded(sent, affinityKey(), AttemptOutcome.CANCELLED, 0);
            return;
        }
        logLine(LineKind.SENT)
                .put("target", sent.target().name())
                .put("busy", sent.inFlight())
                .put("candidates", sent.candidateCount())
                .put("beside", attempt.target().name())
                .write();
        second = new TargetAttempt(server, this, admitted.service(), sent, null);
        second.start();
    }

    /** Forgets an attempt that ended without a response for the caller; returns whether the other one goes on. */
    private boolean otherGoesOn(TargetAttempt ended) {
        if (second == null) {
            return false;
        }
        attempt = ended == attempt ? second : attempt;
        second = null;
        return true;
    }

    /** Cancels the attempt that did not answer first. */
    private void cancelOther(TargetAttempt answered) {
        if (second != null) {
            boolean secondWon = answered == second;
            (secondWon ? attempt : second).cancel(AttemptOutcome.CANCELLED);
            context.requestMetrics().recordHedge(admitted.service(), secondWon ? "won" : "cancelled");
            attempt = answered;
            second = null;
        }
    }

    /** Tries another target, as too many bytes are in flight to this one. */
    private void passOver(Placement.Sent full, QueuedCaller from) {
        String target = full.target().name();
        logLine(LineKind.ATTEMPT)
                .put("target", target)
                .put("ending", AttemptOutcome.CANCELLED.name())
                .put("why", server.bytesInFlight().at(target) + " bytes are in flight to the target")
                .write();
        context.placer().requestEnded(full, affinityKey(), AttemptOutcome.CANCELLED, 0);
        if (from != null) {
            // The queue may be choosing the next request at the moment.
            server.execute(() -> server.queues()
                    .attemptEnded(admitted.service(), target, from.facts().object()));
        }
        triedTargets.add(target);
        startAttempt();
    }

    PlacementRequest placementRequest(Duration left) {
        Duration latencyBudget = admitted.route()
                .policy()
                .latencyTarget()
                .minusNanos(context.time().nanos() - arrivedNanos);
        return new PlacementRequest(
                admitted.service(),
                admitted.route().name(),
                affinityKey(),
                id,
                body.readableBytes(),
                admitted.regions(),
                triedTargets,
                latencyBudget,
                left,
                context.stop().map(StopSchedule::untilCut));
    }

    String affinityKey() {
        boolean sticky = admitted.route().policy().sticky();
        String key = sticky ? head.headers().get(context.headerScheme().affinity()) : null;
        return key == null ? "" : key;
    }

    private void refusePlacement(Placement.Refused refused) {
        refundIfUnsent();
        refuse(Admission.refusalOf(refused), admitted.team());
    }

    /** Returns the rate token of a request that was not sent to any target. */
    void refundIfUnsent() {
        if (attemptsSent == 0 && granted != null) {
            context.refundRate(admitted.team(), granted);
        }
    }

    private RequestKind kind() {
        return admitted.route().policy().kind();
    }

    private TargetRequest targetRequest(KnownTarget target) {
        long leftMs =
                TimeUnit.NANOSECONDS.toMillis(deadlineNanos - context.time().nanos());
        HttpHeaders headers =
                server.headerFilter().toTarget(head.headers(), admitted.team(), target.name(), Math.max(1, leftMs));
        return new TargetRequest(id, head.method(), head.uri(), headers, body);
    }

    boolean mayRepeat() {
        return kind().mayRepeat();
    }

    /** Runs a step unless the caller has disconnected. */
    void runIfConnected(Runnable step) {
        connection.runIfConnected(step);
    }

    /** Counts an attempt that begins, and returns the request as it is sent to a target. */
    TargetRequest countAttempt(KnownTarget target) {
        if (attemptsSent++ == 0) {
            context.countFirstAttempt(admitted.service());
        }
        return targetRequest(target);
    }

    /** Handles the response of a target that ran the request, or does not say that it did not. */
    void responseReceived(TargetAttempt ended, TargetResponse received, AttemptOutcome ending) {
        int status = received.status().code();
        if (second != null && ending == AttemptOutcome.FAILED) {
            received.body().release();
            ended.logEnd("status " + status + " beside another attempt", ending);
            attemptFailed(ended, true);
        } else if (ending == AttemptOutcome.FAILED && mayRepeat() && mayRetry(true)) {
            ended.logEnd("status " + status, ending);
            mayHaveRun = true;
            keepFailedResponse(ended.target(), received, ended.tookNanos());
            startAttempt();
        } else if (NOT_RUN_STATUSES.contains(status)) {
            received.body().release();
            ended.logEnd("status " + status + " without the statement that the request did not run", ending);
            mayHaveRun = true;
            refuse(Refusal.of(Reason.LOST), admitted.team());
        } else {
            cancelOther(ended);
            if (hedge != null && ending == AttemptOutcome.ANSWERED) {
                server.hedges()
                        .recordResponse(admitted.service(), context.time().nanos() - firstAttemptNanos);
            }
            forwardResponse(ended.target(), received, ended.tookNanos());
        }
    }

    private boolean mayRetry(boolean costsBudget) {
        boolean attemptsLeft = attemptsSent < admitted.route().policy().maxAttempts();
        boolean timeLeft = deadlineNanos - context.time().nanos() > MIN_ATTEMPT_TIME.toNanos();
        return attemptsLeft && timeLeft && (!costsBudget || context.acquireRetry(admitted.service()));
    }

    /** After an attempt without a response, retries at another target if that is allowed, else refuses the request. */
    void attemptFailed(TargetAttempt failed, boolean written) {
        triedTargets.add(failed.target().name());
        mayHaveRun |= written;
        if (otherGoesOn(failed)) {
            return;
        }
        attempt = null;
        if (callerDisconnected) {
            finish();
            return;
        }
        boolean allowed = !written || kind().mayRepeat();
        if (allowed && mayRetry(failed.isSendStarted())) {
            startAttempt();
        } else if (mayHaveRun) {
            refuse(Refusal.of(Reason.LOST), admitted.team());
        } else {
            refuse(Refusal.of(Reason.SHED).retryAfter(DEFAULT_RETRY_AFTER), admitted.team());
        }
    }

    /** Ends a request whose deadline has passed. */
    private void onDeadline() {
        if (!finished) {
            end(AttemptOutcome.TIMED_OUT, Reason.LATE, Refusal.of(Reason.BUSY).retryAfter(DEFAULT_RETRY_AFTER));
        }
    }

    /** Ends a request that is in progress when the host stops. */
    void abort() {
        if (!finished) {
            logCut();
            end(AttemptOutcome.CANCELLED, Reason.LOST, Admission.LEAVING);
        }
    }

    /** Ends a request without a target's response, for one of two reasons by whether a target may have run it. */
    private void end(AttemptOutcome ending, Reason mayHaveRunReason, Refusal notRun) {
        boolean inProgress = attempt != null && attempt.isSendStarted() || second != null && second.isSendStarted();
        cancelAttempts(ending);
        Refusal refusal = inProgress || mayHaveRun ? Refusal.of(mayHaveRunReason) : notRun;
        refuse(refusal, admitted == null ? "" : admitted.team());
    }

    private void keepFailedResponse(KnownTarget target, TargetResponse received, long targetNanos) {
        releaseFailedResponse();
        failedResponse = new FailedResponse(target, received, targetNanos);
    }

    private void releaseFailedResponse() {
        if (failedResponse != null) {
            failedResponse.received().body().release();
            failedResponse = null;
        }
    }

    private void forwardResponse(KnownTarget target, TargetResponse received, long targetNanos) {
        if (finished) {
            received.body().release();
            return;
        }
        logLine(LineKind.ANSWERED)
                .put("status", received.status().code())
                .put("target", target.name())
                .put("load", received.headers().get(context.headerScheme().load()))
                .putNanos("targetMs", targetNanos)
                .write();
        HttpHeaders headers = server.headerFilter().toCaller(received.headers());
        context.requestMetrics()
                .recordResponse(admitted.service(), received.status().code(), elapsedNanos());
        complete(new Response(received.status().code(), headers, received.body()));
    }

    /**
     * Ends the request with the response of a target that failed, if there is one, else with an error response;
     * {@code team} is logged if the request was not admitted.
     */
    void refuse(Refusal refusal, String team) {
        if (finished) {
            return;
        }
        if (failedResponse != null) {
            FailedResponse kept = failedResponse;
            failedResponse = null;
            forwardResponse(kept.target(), kept.received(), kept.targetNanos());
            return;
        }
        boolean notRun = NOT_RUN_STATUSES.contains(refusal.status());
        Reason reason = mayHaveRun && notRun ? Reason.LOST : refusal.reason();
        logLine(reason.outcome() == Outcome.NOT_RUN ? LineKind.REFUSED : LineKind.FAILED)
                .put("reason", reason.name())
                .put("refusedTeam", admitted == null ? team : null)
                .put("sent", attemptsSent)
                .put("queue", queued == null ? null : queued.cause())
                .write();
        recordFailure(reason);
        complete(ProblemResponses.of(reason, refusal.retry(), id, context.headerScheme()));
    }

    private void recordFailure(Reason reason) {
        context.requestMetrics().recordFailure(admitted == null ? "" : admitted.service(), reason, elapsedNanos());
    }

    private long elapsedNanos() {
        return context.time().nanos() - arrivedNanos;
    }

    EventLog.Line logLine(LineKind kind) {
        EventLog.Line line = context.log().line(kind).put("request", id);
        if (admitted != null) {
            line.put("route", admitted.route().name()).put("service", admitted.service());
            line.put("team", admitted.team());
            line.put("object", head.headers().get(context.headerScheme().affinity()));
        }
        return line.putNanos("afterMs", elapsedNanos())
                .put("configuration", context.configuration().number());
    }

    /** Logs how far the request has come when the end of a stop cuts it. */
    private void logCut() {
        EventLog.Line line = logLine(LineKind.CUT)
                .put("sent", attemptsSent)
                .putNanos(
                        "leavingMs",
                        context.stop()
                                .map(StopSchedule::elapsed)
                                .orElse(Duration.ZERO)
                                .toNanos());
        if (attempt != null) {
            line.put("target", attempt.target().name()).putNanos("targetMs", attempt.tookNanos());
        }
        line.write();
    }

    private void complete(Response completed) {
        // A connection whose caller left has dropped this request, and would neither write nor release the response.
        if (callerDisconnected) {
            completed.body().release();
        } else {
            response = completed;
        }
        finish();
        connection.flushResponses();
    }

    private void finish() {
        finished = true;
        if (queued != null) {
            queued.leave(callerDisconnected);
        }
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (hedge != null) {
            hedge.cancel();
        }
        releaseFailedResponse();
        body.release();
    }

    /**
     * Called when the caller's connection is closed. Cancels a request that is idempotent or not sent completely; any
     * other runs to its end.
     */
    void callerDisconnected() {
        callerDisconnected = true;
        if (finished) {
            if (response != null) {
                response.body().release();
                response = null;
            }
            return;
        }
        if (admitted == null) {
            finish();
            return;
        }
        recordFailure(Reason.CALLER_GONE);
        logLine(LineKind.FAILED)
                .put("reason", Reason.CALLER_GONE.name())
                .put("sent", attemptsSent)
                .write();
        if (attempt == null || kind().mayRepeat() || !attempt.isWritten()) {
            cancelAttempts(AttemptOutcome.CANCELLED);
            finish();
        }
    }

    private void cancelAttempts(AttemptOutcome ending) {
        if (attempt != null) {
            attempt.cancel(ending);
        }
        if (second != null) {
            second.cancel(ending);
            context.requestMetrics().recordHedge(admitted.service(), "cancelled");
            second = null;
        }
    }
}
