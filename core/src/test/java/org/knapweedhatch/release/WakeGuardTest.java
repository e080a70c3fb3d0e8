package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;

class WakeGuardTest {

    private static final Duration TICK = Duration.ofMillis(100);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final StalenessGuard guard = StalenessGuard.of(time);

    @Test
    void hostThatTicksActs() {
        for (int i = 0; i < 100; i++) {
            time.advance(TICK);
            guard.tick();
            assertTrue(guard.mayAdmit());
        }
    }

    @Test
    void hostThatStoodStillWaitsForTheLatestNumber() {
        time.advance(Duration.ofSeconds(5));
        assertFalse(guard.mayAdmit());
        guard.confirmed(time.nanos());
        assertTrue(guard.mayAdmit());
    }

    @Test
    void answerToAQuestionFromBeforeThePauseProvesNothing() {
        long asked = time.nanos();
        time.advance(Duration.ofSeconds(5));
        guard.confirmed(asked);
        assertFalse(guard.mayAdmit());
    }

    @Test
    void hostThatReachesNobodyGoesOn() {
        time.advance(Duration.ofSeconds(5));
        assertFalse(guard.mayAdmit());
        for (Duration waited = Duration.ZERO;
                waited.compareTo(StalenessGuard.MAX_WAIT) < 0;
                waited = waited.plus(TICK)) {
            assertFalse(guard.mayAdmit());
            time.advance(TICK);
        }
        assertTrue(guard.mayAdmit());
    }
}
