package org.knapweedhatch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.limit.LimitSettings;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.Split;
import org.knapweedhatch.limit.SplitHost;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Link;
import org.knapweedhatch.world.Region;

class PacedPipeTest {

    private static final int PIECE = 16 * 1024;
    private static final long RATE = 1_000_000;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    @Test
    void bytesOverALinkNeverPassItsRateAndBurst() {
        Pacer pacer = Pacer.of(limiter(), "lima", "trujillo");
        long passed = 0;
        Duration length = Duration.ofSeconds(20);
        long start = time.nanos();
        while (time.since(start).compareTo(length) < 0) {
            Duration wait = pacer.take(PIECE);
            passed += wait.isZero() ? PIECE : 0;
            time.advance(wait.isZero() ? Duration.ofNanos(1) : wait);
        }
        double burst = RATE * LimitSettings.standard().linkBurst().toMillis() / 1000.0;
        double most = RATE * 20 + burst;
        assertFalse(passed > most, passed + " bytes passed, at most " + most);
        assertFalse(passed < 0.9 * RATE * 20, "only " + passed + " bytes passed");
    }

    @Test
    void undeclaredLinkIsNotPaced() {
        assertEquals(Duration.ZERO, Pacer.of(limiter(), "lima", "cusco").take(PIECE));
    }

    private Limiter limiter() {
        Host self = new Host("a", "lima", "lima-a", new Address("127.0.0.1", 1), new Address("127.0.0.1", 2));
        Limiter limiter = Limiter.create(LimitSettings.standard(), self, 1, time, EventSink.none());
        limiter.split(Split.initial(List.of(new SplitHost("a", "lima", "lima-a", 1, 0))));
        limiter.configure(Configuration.builder()
                .region(new Region("lima"))
                .region(new Region("trujillo"))
                .link(new Link("lima", "trujillo", RATE))
                .build(1));
        for (int i = 0; i < 100; i++) {
            time.advance(Limiter.TICK_PERIOD);
            limiter.tick();
        }
        return limiter;
    }
}
