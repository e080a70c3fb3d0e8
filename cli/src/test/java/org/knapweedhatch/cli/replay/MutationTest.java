package org.knapweedhatch.cli.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.answer.Effect;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.cli.replay.check.Promise;
import org.knapweedhatch.cli.replay.trace.Change;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.FaultKind;
import org.knapweedhatch.cli.replay.trace.Scenario;
import org.knapweedhatch.cli.replay.trace.Trace;
import org.knapweedhatch.cli.replay.trace.TraceLine;
import org.knapweedhatch.key.KeyCheck;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.limit.Admission;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;

/** Each deliberate fault in a decision makes the replay fail, and nothing but that fault does. */
class MutationTest {

    private static final Trace NOISY = promises(Scenario.NOISY_TEAM, 0.3);
    private static final Trace OVER_RATE = promises(Scenario.NOISY_TEAM, 1);
    private static final Trace WITHDRAWN = promises(Scenario.KEY_WITHDRAWN, 0.1);

    /** Returns a trace that states nothing, so that it fails by a promise only. */
    private static Trace promises(Scenario scenario, double scale) {
        Trace stated = scenario.trace(Deployment.RAFAGA, 2, 8, scale);
        Trace.Builder trace = Trace.builder().header(stated.header());
        stated.lines().forEach(trace::line);
        return trace.build();
    }

    @Test
    void decisionsAsTheyAreBreakNothing() {
        assertEquals(Map.of(), broken(OVER_RATE, Decisions.REAL));
        assertEquals(Map.of(), broken(WITHDRAWN, Decisions.REAL));
    }

    @Test
    void oneAdmissionTooManyAfterEachRefusalIsFound() {
        Decisions oneTooMany = new Decisions() {
            private boolean refusedBefore;

            @Override
            public Admission admit(Limiter limiter, LimitId limit, boolean again) {
                Admission admission = Decisions.REAL.admit(limiter, limit, again);
                boolean refused = !admission.isAdmitted();
                boolean give = refused && refusedBefore;
                refusedBefore = refused && !give;
                return give ? new Admission.Admitted() : admission;
            }
        };
        assertTrue(broken(OVER_RATE, oneTooMany).containsKey(Promise.TEAM_WINDOW));
    }

    @Test
    void forgottenDeductionIsFound() {
        Decisions forgetful = new Decisions() {
            private long admissions;

            @Override
            public Admission admit(Limiter limiter, LimitId limit, boolean again) {
                boolean forgets = ++admissions % 10 == 0;
                return forgets ? new Admission.Admitted() : Decisions.REAL.admit(limiter, limit, again);
            }
        };
        assertTrue(broken(OVER_RATE, forgetful).containsKey(Promise.TEAM_WINDOW));
    }

    @Test
    void secondDispatchIsFound() {
        Decisions twice = new Decisions() {
            @Override
            public List<Effect> effects(List<Effect> effects) {
                List<Effect> doubled = new ArrayList<>(effects);
                effects.stream().filter(Effect.Dispatch.class::isInstance).forEach(doubled::add);
                return doubled;
            }
        };
        assertTrue(broken(NOISY, twice).containsKey(Promise.AT_MOST_ONCE));
    }

    @Test
    void refusalThatRanIsFound() {
        Decisions dishonest = new Decisions() {
            @Override
            public List<Effect> effects(List<Effect> effects) {
                List<Effect> changed = new ArrayList<>();
                for (Effect effect : effects) {
                    changed.add(effect);
                    if (effect instanceof Effect.ForwardResponse deliver) {
                        var refusal = Refusal.of(Reason.BUSY);
                        changed.add(new Effect.Refuse(deliver.request(), refusal));
                    }
                }
                return changed;
            }
        };
        assertTrue(broken(NOISY, dishonest).containsKey(Promise.NOT_RUN));
    }

    @Test
    void configurationGoingBackIsFound() {
        Decisions reverting = new Decisions() {
            @Override
            public List<Configuration> inForce(Configuration before, Configuration next) {
                return before.number() == 0 ? List.of(next) : List.of(next, before);
            }
        };
        assertTrue(broken(WITHDRAWN, reverting).containsKey(Promise.CONFIGURATION_RISES));
    }

    @Test
    void hostThatWakesDoesNotAdmitAKeyWithdrawnWhileItStoodStill() {
        Trace.Builder trace = Trace.builder().header(WITHDRAWN.header());
        TraceLine.Arrival request =
                new TraceLine.Arrival(0, "key-team-1", "forecasts", "pacifico", true, 100, 100, 10_000, "");
        trace.line(new TraceLine.Load(0, 8_000_000, 50, request));
        for (String host : List.of("host-1", "host-2", "host-3")) {
            trace.line(new TraceLine.Failure(1_000_000, FaultKind.HOST_PAUSE, host, 4_500_000, 0));
        }
        trace.line(new TraceLine.Release(1_100_000, "op", Change.of(Change.Action.WITHDRAW_KEY, "key-team-1")));
        assertEquals(Map.of(), broken(trace.build(), Decisions.REAL));
    }

    @Test
    void withdrawnKeyThatStillWorksIsFound() {
        Decisions lenient = new Decisions() {
            @Override
            public KeyCheck check(KeyRing ring, String shown) {
                KeyCheck check = Decisions.REAL.check(ring, shown);
                ApiKey key = Deployment.RAFAGA.configuration().keys().get(shown);
                return check instanceof KeyCheck.Rejected && key != null ? new KeyCheck.Accepted(key) : check;
            }
        };
        assertTrue(broken(WITHDRAWN, lenient).containsKey(Promise.KEY));
    }

    private static Map<Promise, Long> broken(Trace trace, Decisions decisions) {
        return Replay.of(trace)
                .run(stage -> new RealFleet(stage, decisions))
                .breaches()
                .counts();
    }
}
