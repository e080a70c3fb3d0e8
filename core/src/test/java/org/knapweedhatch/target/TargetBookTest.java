package org.knapweedhatch.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Service;

class TargetBookTest {

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<TargetChange.Kind> changes = new ArrayList<>();
    private final TargetBook book = TargetBook.of(time, change -> changes.add(change.kind()));

    @BeforeEach
    void configure() {
        book.configure(Configuration.builder()
                .region(new Region("lima"))
                .domain(new FailureDomain("lima-a", "lima"))
                .service(new Service("orders", Duration.ofSeconds(5), "/health", 330, Duration.ofSeconds(3), 14))
                .build(1));
    }

    private static Registration entry(String name, long revision, long started, boolean leaving) {
        return new Registration(
                name, "orders", "lima-a", new Address("10.0.0.1", 80), 5, leaving, Duration.ZERO, started, revision);
    }

    private List<String> open() {
        return book.targets().stream()
                .filter(target -> !target.closed())
                .map(KnownTarget::name)
                .toList();
    }

    @Test
    void leavingTargetIsClosedAndAnOlderEntryDoesNotOpenIt() {
        book.register(entry("t1", 5, 1, false));
        book.register(entry("t1", 8, 1, true));
        book.register(entry("t1", 6, 1, false));
        assertEquals(List.of(), open());
        assertEquals(List.of(TargetChange.Kind.STARTED, TargetChange.Kind.LEAVING), changes);
    }

    @Test
    void targetThatVanishesWhileTheStoreAnswersIsGone() {
        book.register(entry("t1", 5, 1, false));
        book.unregister("t1");
        assertEquals(List.of(), book.targets());
    }

    @Test
    void targetThatLapsesInAnOutageIsKeptForTwoSecondsAfterIt() {
        book.register(entry("t1", 5, 1, false));
        book.register(entry("t2", 6, 1, false));
        book.storeReachable(false);
        time.advance(Duration.ofSeconds(30));
        book.storeReachable(true);
        book.replaceAll(List.of());
        assertEquals(List.of("t1", "t2"), open());
        book.register(entry("t2", 9, 1, false));
        time.advance(TargetBook.RETURN_TIME.minusMillis(1));
        book.tick();
        assertEquals(List.of("t1", "t2"), open());
        time.advance(Duration.ofMillis(1));
        book.tick();
        assertEquals(List.of("t2"), open());
    }

    @Test
    void targetThatWasLeavingBeforeAnOutageStaysClosed() {
        book.register(entry("t1", 5, 1, true));
        book.storeReachable(false);
        book.unregister("t1");
        assertEquals(List.of(), open());
    }

    @Test
    void sameNameWithAnotherStartIsANewLife() {
        book.register(entry("t1", 5, 1, false));
        long first = book.targets().get(0).life();
        book.register(entry("t1", 9, 2, false));
        assertTrue(book.targets().get(0).life() > first);
        assertEquals(List.of(TargetChange.Kind.STARTED, TargetChange.Kind.STARTED), changes);
    }

    @Test
    void targetsOfADomainThatIsTakenBackAreCold() {
        book.register(entry("t1", 5, 1, false));
        book.evacuate(Set.of("lima-a"));
        assertEquals(List.of(), open());
        time.advance(Duration.ofSeconds(20));
        book.evacuate(Set.of());
        assertEquals(List.of("t1"), open());
        assertTrue(book.targets().get(0).isCold(time.nanos()));
        time.advance(Duration.ofSeconds(3));
        assertFalse(book.targets().get(0).isCold(time.nanos()));
    }

    @Test
    void targetOfAServiceThatNoConfigurationNamesIsNotServed() {
        book.configure(Configuration.builder().build(2));
        book.register(entry("t1", 5, 1, false));
        assertEquals(List.of(), book.targets());
    }
}
