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
import org.knapweedhatch.message.Outgoing;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.steer.SteeringJob;
import org.knapweedhatch.steer.LoadReport;
import org.knapweedhatch.steer.Placement;
import org.knapweedhatch.steer.Steering;

/**
 * The lives of all requests of one host: events in, effects out.
 *
 * <p>Each request gets exactly one final effect: {@link Effect.Deliver} whose answer then ends, {@link Effect.Replay},
 * {@link Effect.Refuse}, or {@link Effect.Break} after a {@link Effect.Deliver}; none where its caller went away. A
 * refusal as not run is given only where every attempt is proved not to have run.
 *
 * <pre>{@code
 * for (Effect effect : answering.on(new Event.Arrived(request, head))) {
 *     edge.perform(effect);
 * }
 * }</pre>
 */
public final class Answering {

    private final Steering steering;
    private final Claims claims;
    private final TimeSource time;
    private final Map<Long, Lives> owners = new ConcurrentHashMap<>();
    private final Map<String, Lives> shards = new ConcurrentHashMap<>();

    private Answering(Steering steering, Claims claims, TimeSource time) {
        this.steering = Validate.notNull(steering, "steering");
        this.claims = Validate.notNull(claims, "claims");
        this.time = Validate.notNull(time, "time");
    }

    /** Creates the answering of a host. */
    public static Answering of(Steering steering, Claims claims, TimeSource time) {
        return new Answering(steering, claims, time);
    }

    /** Moves a request on; an event of a request that is over changes nothing. */
    public List<Effect> on(Event event) {
        if (event instanceof Event.Arrived arrived) {
            Lives lives = shard(arrived.head().service());
            owners.put(arrived.request(), lives);
            return settle(lives.arrive(arrived));
        }
        Lives lives = event instanceof Event.AttemptOver over ? shard(over.service()) : owners.get(event.request());
        return lives == null ? List.of() : settle(lives.on(event));
    }

    /** Takes a claim message or a load report of another host in. */
    public List<Effect> on(String from, PeerMessage message) {
        if (message instanceof ClaimMessage claim) {
            return decide(claims.on(from, claim));
        }
        if (message instanceof LoadReport report) {
            return placed(steering.receive(from, report));
        }
        return List.of();
    }

    /** Ends what its time has come for; to be called every few milliseconds. */
    public List<Effect> tick() {
        List<Effect> effects = new ArrayList<>(decide(claims.tick()));
        shards.values().forEach(lives -> effects.addAll(settle(lives.expire())));
        effects.addAll(placed(steering.tick()));
        return effects;
    }

    /** Returns how many requests are not over yet. */
    public int running() {
        return owners.size();
    }

    private Lives shard(String service) {
        return shards.computeIfAbsent(service, name -> new Lives(steering, claims, time));
    }

    private List<Effect> placed(List<Placement> placements) {
        List<Effect> effects = new ArrayList<>();
        for (Placement placement : placements) {
            effects.addAll(settle(shard(placement.job().service()).placed(placement)));
        }
        return effects;
    }

    private List<Effect> decide(Claims.Step step) {
        List<Effect> effects = new ArrayList<>();
        for (Outgoing message : step.messages()) {
            effects.add(new Effect.Send(message));
        }
        for (Claims.Decision decision : step.verdicts()) {
            Lives lives = owners.get(decision.request());
            if (lives != null) {
                effects.addAll(settle(lives.decided(decision)));
            }
        }
        return effects;
    }

    private List<Effect> settle(Lives.Turn turn) {
        turn.over().forEach(owners::remove);
        return turn.effects();
    }

    /** Makes a job of a head. */
    static SteeringJob job(long request, Head head) {
        return new SteeringJob(
                request,
                head.service(),
                head.team(),
                head.origin(),
                head.deadlineNanos(),
                head.bytesOut(),
                head.bytesBack(),
                head.sender(),
                Set.of(),
                Set.of());
    }

    /** Returns a refusal that names a wait only where one is forecast. */
    static Refusal refusal(Reason reason, Duration wait) {
        return wait.isZero() ? Refusal.of(reason) : new Refusal(reason, Optional.of(wait));
    }
}
