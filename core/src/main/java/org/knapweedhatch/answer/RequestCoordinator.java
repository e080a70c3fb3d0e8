package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.steer.Job;
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.Placement;
import org.knapweedhatch.steer.Steering;

/**
 * The lives of all requests of one host: events in, effects out.
 *
 * <p>Each request gets exactly one final effect: {@link Effect.ForwardResponse} whose answer then ends,
 * {@link Effect.Replay}, {@link Effect.Refuse}, or {@link Effect.AbortResponse} after a {@link Effect.ForwardResponse};
 * none where its caller went away. A refusal as not run is given only where every attempt is proved not to have run.
 *
 * <pre>{@code
 * for (Effect effect : answering.on(new Event.Arrived(request, head))) {
 *     edge.perform(effect);
 * }
 * }</pre>
 */
public final class RequestCoordinator {

    private final Steering steering;
    private final IdempotencyClaims claims;
    private final TimeSource time;
    private final Map<Long, ServiceRequests> groupsByRequest = new ConcurrentHashMap<>();
    private final Map<String, ServiceRequests> groupsByService = new ConcurrentHashMap<>();

    private RequestCoordinator(Steering steering, IdempotencyClaims claims, TimeSource time) {
        this.steering = Validate.notNull(steering, "steering");
        this.claims = Validate.notNull(claims, "claims");
        this.time = Validate.notNull(time, "time");
    }

    /** Creates the answering of a host. */
    public static RequestCoordinator of(Steering steering, IdempotencyClaims claims, TimeSource time) {
        return new RequestCoordinator(steering, claims, time);
    }

    /** Moves a request on; an event of a request that is over changes nothing. */
    public List<Effect> on(Event event) {
        if (event instanceof Event.Arrived arrived) {
            ServiceRequests lives = group(arrived.head().service());
            groupsByRequest.put(arrived.request(), lives);
            return finish(lives.arrive(arrived));
        }
        ServiceRequests lives = event instanceof Event.AttemptEndConfirmed over
                ? group(over.service())
                : groupsByRequest.get(event.request());
        return lives == null ? List.of() : finish(lives.on(event));
    }

    /** Takes a claim message or a load report of another host in. */
    public List<Effect> on(String from, PeerMessage message) {
        if (message instanceof ClaimMessage claim) {
            return applyClaimResult(claims.receive(from, claim));
        }
        if (message instanceof LoadReport report) {
            return applyPlacements(steering.on(from, report));
        }
        return List.of();
    }

    /** Ends what its time has come for; to be called every few milliseconds. */
    public List<Effect> tick() {
        List<Effect> effects = new ArrayList<>(applyClaimResult(claims.tick()));
        groupsByService.values().forEach(lives -> effects.addAll(finish(lives.expire())));
        effects.addAll(applyPlacements(steering.tick()));
        return effects;
    }

    /** Returns how many requests are not over yet. */
    public int activeRequests() {
        return groupsByRequest.size();
    }

    private ServiceRequests group(String service) {
        return groupsByService.computeIfAbsent(service, name -> new ServiceRequests(steering, claims, time));
    }

    private List<Effect> applyPlacements(List<Placement> placements) {
        List<Effect> effects = new ArrayList<>();
        for (Placement placement : placements) {
            effects.addAll(finish(group(placement.job().service()).onPlaced(placement)));
        }
        return effects;
    }

    private List<Effect> applyClaimResult(IdempotencyClaims.Result step) {
        List<Effect> effects = new ArrayList<>();
        for (OutgoingMessage message : step.messages()) {
            effects.add(new Effect.Send(message));
        }
        for (IdempotencyClaims.Decision decision : step.decisions()) {
            ServiceRequests lives = groupsByRequest.get(decision.request());
            if (lives != null) {
                effects.addAll(finish(lives.onClaimDecided(decision)));
            }
        }
        return effects;
    }

    private List<Effect> finish(ServiceRequests.Transition turn) {
        turn.finished().forEach(groupsByRequest::remove);
        return turn.effects();
    }

    /** Makes a job of a head. */
    static Job jobOf(long request, AdmittedRequest head) {
        return new Job(
                request,
                head.service(),
                head.team(),
                head.origin(),
                head.deadlineNanos(),
                head.bytesOut(),
                head.bytesBack(),
                head.relayRegion(),
                Set.of(),
                Set.of());
    }

    /** Returns a refusal that names a wait only where one is forecast. */
    static Refusal refusal(Reason reason, Duration wait) {
        return wait.isZero() ? Refusal.of(reason) : new Refusal(reason, Optional.of(wait));
    }
}
