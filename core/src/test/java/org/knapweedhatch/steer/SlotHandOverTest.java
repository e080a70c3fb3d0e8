package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Target;

class SlotHandOverTest {

    private static final SlotTerms TERMS = new SlotTerms(SlotTerms.LEASE, Duration.ofSeconds(3));
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Target target = new Target("t", "orders", "lima-a", Address.parse("127.0.0.1:9000"), 4, 330);
    private final Configuration configuration = Configuration.builder()
            .region(new Region("lima"))
            .domain(new FailureDomain("lima-a", "lima"))
            .target(target)
            .build(1);
    private final Roster first = Roster.of(1, 1, List.of(entry("a-1", true), entry("a-2", true)));
    private final String ownerName = first.owner(target, "lima").orElseThrow().host();
    private final String mateName = ownerName.equals("a-1") ? "a-2" : "a-1";
    private final Slots owner = slots(ownerName);
    private final Slots mate = slots(mateName);

    private static Roster.Entry entry(String host, boolean active) {
        return new Roster.Entry(host, "lima", "lima-a", 1, active);
    }

    private Slots slots(String name) {
        Slots slots = Slots.of(name, 1, true, TERMS, time);
        slots.configure(configuration);
        slots.adopt(first);
        return slots;
    }

    private void talk(Slots asker, String askerName, Slots replier, String replierName) {
        asker.tick()
                .forEach(out -> replier.on(askerName, (RosterAsk) out.message())
                        .ifPresent(reply -> asker.on(replierName, reply)));
    }

    @Test
    void ownerHoldsTheWholeOnceItsMateHasReplied() {
        assertEquals(Holding.NONE, owner.holding(target));
        talk(owner, ownerName, mate, mateName);
        assertEquals(Holding.FULL, owner.holding(target));
        assertEquals(Holding.NONE, mate.holding(target));
    }

    @Test
    void ownerThatHearsNobodyKeepsItsPart() {
        talk(owner, ownerName, mate, mateName);
        assertEquals(Holding.FULL, owner.holding(target));
        time.advance(SlotTerms.LEASE);
        assertEquals(Holding.KEPT, owner.holding(target));
        assertEquals(2, Holding.KEPT.slots(target));
    }

    @Test
    void leavingOwnerLetsGoWhenItsRequestsHaveEnded() {
        talk(owner, ownerName, mate, mateName);
        assertTrue(owner.take(target));
        Roster next = first.next(List.of(entry(ownerName, false), entry(mateName, true)));
        owner.adopt(next);
        mate.adopt(next);
        talk(mate, mateName, owner, ownerName);
        assertEquals(Holding.NONE, mate.holding(target));
        assertEquals(Holding.NONE, owner.holding(target));
        owner.release(target);
        talk(mate, mateName, owner, ownerName);
        assertEquals(Holding.FULL, mate.holding(target));
    }

    @Test
    void requestsOfAHostThatIsGoneAreWaitedFor() {
        talk(owner, ownerName, mate, mateName);
        assertTrue(owner.take(target));
        mate.adopt(first.next(List.of(entry(mateName, true))));
        assertEquals(Holding.NONE, mate.holding(target));
        time.advance(TERMS.longestRequest());
        assertEquals(Holding.NONE, mate.holding(target));
        time.advance(Duration.ofSeconds(1));
        assertEquals(Holding.FULL, mate.holding(target));
    }
}
