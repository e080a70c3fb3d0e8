package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;

class StalenessGuardTest {

    private static final Duration TICK = Duration.ofMillis(100);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final StalenessGuard guard = StalenessGuard.of(time);

    @Test
    void tickingHostAdmits() {
        for (int i = 0; i < 100; i++) {
            time.advance(TICK);
            guard.tick();
            assertTrue(guard.mayAdmit());
        }
    }

    @Test
    void pausedHostWaitsForConfirmation() {
        time.advance(Duration.ofSeconds(5));
        assertFalse(guard.mayAdmit());
        guard.confirm(time.nanos());
        assertTrue(guard.mayAdmit());
    }

    @Test
    void confirmationRequestedBeforePauseIsIgnored() {
        long asked = time.nanos();
        time.advance(Duration.ofSeconds(5));
        guard.confirm(asked);
        assertFalse(guard.mayAdmit());
    }

    @Test
    void isolatedHostResumesAfterMaxWait() {
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
