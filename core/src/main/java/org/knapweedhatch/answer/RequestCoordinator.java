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
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.Placement;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.steer.SteeringJob;

/**
 * Drives all requests of one host: takes events and returns the effects to perform.
 *
 * <p>Each request gets exactly one final effect: an {@link Effect.ForwardResponse} that completes,
 * {@link Effect.Replay}, {@link Effect.Refuse}, or {@link Effect.AbortResponse} after a {@link Effect.ForwardResponse};
 * it gets none if its caller disconnected. A refusal states that the request did not run only if every attempt is
 * proved not to have run.
 *
 * <pre>{@code
 * for (Effect effect : coordinator.on(new Event.Arrived(request, admitted))) {
 *     proxy.perform(effect);
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

    /** Creates the coordinator of a host. */
    public static RequestCoordinator of(Steering steering, IdempotencyClaims claims, TimeSource time) {
        return new RequestCoordinator(steering, claims, time);
    }

    /** Applies an event and returns the resulting effects; events of finished or unknown requests have none. */
    public List<Effect> on(Event event) {
        if (event instanceof Event.Arrived arrived) {
            ServiceRequests group = group(arrived.admitted().service());
            groupsByRequest.put(arrived.request(), group);
            return finish(group.arrive(arrived));
        }
        ServiceRequests group = event instanceof Event.AttemptEndConfirmed ended
                ? group(ended.service())
                : groupsByRequest.get(event.request());
        return group == null ? List.of() : finish(group.on(event));
    }

    /** Processes a claim message or a load report from another host; other messages have no effect. */
    public List<Effect> on(String from, PeerMessage message) {
        if (message instanceof ClaimMessage claim) {
            return applyClaimResult(claims.receive(from, claim));
        }
        if (message instanceof LoadReport report) {
            return applyPlacements(steering.receive(from, report));
        }
        return List.of();
    }

    /** Expires deadlines and queued requests and resends claim messages. Call every few milliseconds. */
    public List<Effect> tick() {
        List<Effect> effects = new ArrayList<>(applyClaimResult(claims.tick()));
        groupsByService.values().forEach(group -> effects.addAll(finish(group.expire())));
        effects.addAll(applyPlacements(steering.tick()));
        return effects;
    }

    /** Returns the number of requests that have not finished. */
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

    private List<Effect> applyClaimResult(IdempotencyClaims.Result result) {
        List<Effect> effects = new ArrayList<>();
        for (OutgoingMessage message : result.messages()) {
            effects.add(new Effect.Send(message));
        }
        for (IdempotencyClaims.Decision decision : result.decisions()) {
            ServiceRequests group = groupsByRequest.get(decision.request());
            if (group != null) {
                effects.addAll(finish(group.onClaimDecided(decision)));
            }
        }
        return effects;
    }

    private List<Effect> finish(ServiceRequests.Transition transition) {
        transition.finished().forEach(groupsByRequest::remove);
        return transition.effects();
    }

    /** Returns the placement job of a request. */
    static SteeringJob jobOf(long request, AdmittedRequest admitted) {
        return new SteeringJob(
                request,
                admitted.service(),
                admitted.team(),
                admitted.origin(),
                admitted.deadlineNanos(),
                admitted.bytesOut(),
                admitted.bytesBack(),
                admitted.relayRegion(),
                Set.of(),
                Set.of());
    }

    /** Returns a refusal with a retry delay, or without one if {@code wait} is zero (no forecast). */
    static Refusal refusal(Reason reason, Duration wait) {
        return wait.isZero() ? Refusal.of(reason) : new Refusal(reason, Optional.of(wait));
    }
}
