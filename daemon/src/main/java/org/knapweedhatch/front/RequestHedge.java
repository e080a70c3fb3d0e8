package org.knapweedhatch.front;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.hedge.HedgeBound;
import org.knapweedhatch.hedge.HedgeCandidate;
import org.knapweedhatch.hedge.HedgePolicy;
import org.knapweedhatch.place.AttemptOutcome;
import org.knapweedhatch.place.Capacity;
import org.knapweedhatch.place.Placement;
import org.knapweedhatch.place.PlacementRequest;
import org.knapweedhatch.quota.RateDecision;

/**
 * Sends a second attempt of a request whose first one takes longer than most, if nothing forbids it.
 *
 * <p>For use on the event loop of the caller's connection only.
 */
final class RequestHedge {

    private final FrontServer server;
    private final FrontContext context;
    private final HedgePolicy policy;
    private final CallerRequest request;
    private final Admission.Admitted admitted;
    private final EventLoop loop;
    private Optional<ScheduledFuture<?>> timer = Optional.empty();

    RequestHedge(FrontServer server, CallerRequest request, Admission.Admitted admitted, EventLoop loop) {
        this.server = server;
        this.request = request;
        this.admitted = admitted;
        this.loop = loop;
        context = server.context();
        policy = server.hedges();
    }

    /** Counts the request, and sets the time at which its second attempt is due. */
    void schedule() {
        policy.recordRequest(admitted.service());
        timer = policy.delay(admitted.service())
                .map(delay -> loop.schedule(this::offer, delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    void cancel() {
        timer.ifPresent(due -> due.cancel(false));
    }

    private void offer() {
        if (!request.awaitsOneAttempt()) {
            return;
        }
        HedgeCandidate candidate = new HedgeCandidate(
                admitted.service(),
                request.mayRepeat(),
                request.attemptsSent(),
                admitted.route().policy().maxAttempts(),
                context.stop().isPresent(),
                server.waitingRequests());
        Optional<HedgeBound> denied = policy.deniedBy(candidate);
        if (denied.isPresent()) {
            recordDenied(denied.get());
        } else if (admitted.team().isEmpty()) {
            send(Optional.empty());
        } else {
            CompletableFuture<RateDecision> rate = context.acquireRate(admitted.team());
            if (rate.isDone()) {
                rateDecided(rate.join());
            } else {
                rate.thenAcceptAsync(this::rateDecided, loop);
            }
        }
    }

    private void rateDecided(RateDecision decided) {
        if (decided instanceof RateDecision.Granted token) {
            send(Optional.of(token));
        } else {
            recordDenied(HedgeBound.TEAM_RATE);
        }
    }

    private void send(Optional<RateDecision.Granted> token) {
        // The first attempt may have ended while another host decided on the rate.
        boolean due = request.awaitsOneAttempt();
        Optional<HedgeBound> denied = due ? trySend() : Optional.empty();
        denied.ifPresent(this::recordDenied);
        if (!due || denied.isPresent()) {
            token.ifPresent(granted -> context.refundRate(admitted.team(), granted));
        }
    }

    /** Sends the second attempt, or returns what forbids it. */
    private Optional<HedgeBound> trySend() {
        String region = context.placer().region();
        if (!admitted.regions().isEmpty() && !admitted.regions().contains(region)) {
            return Optional.of(HedgeBound.NO_FREE_SLOT);
        }
        PlacementRequest wanted = placementRequest(region);
        if (!(context.placer().place(wanted, Capacity.SLOT_IN_TIME, "") instanceof Placement.Sent sent)) {
            return Optional.of(HedgeBound.NO_FREE_SLOT);
        }
        if (!context.acquireRetry(admitted.service())) {
            context.placer().requestEnded(sent, wanted.object(), AttemptOutcome.CANCELLED, 0);
            return Optional.of(HedgeBound.RETRY_BUDGET);
        }
        policy.recordSent(admitted.service());
        context.requestMetrics().recordHedge(admitted.service(), "sent");
        request.startSecondAttempt(sent);
        return Optional.empty();
    }

    /** Returns what a second attempt needs: another target of a region that answers as fast as to a new request. */
    private PlacementRequest placementRequest(String region) {
        return new PlacementRequest(
                admitted.service(),
                admitted.route().name(),
                request.affinityKey(),
                request.id(),
                request.received(),
                Set.of(region),
                request.usedTargets(),
                admitted.route().policy().latencyTarget(),
                request.timeLeft(),
                context.stop().map(StopSchedule::untilCut));
    }

    private void recordDenied(HedgeBound bound) {
        context.requestMetrics()
                .recordHedge(admitted.service(), "denied_" + bound.name().toLowerCase(Locale.ROOT));
    }
}
