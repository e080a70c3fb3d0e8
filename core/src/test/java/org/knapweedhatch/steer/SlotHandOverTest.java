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

    private static final SlotTimings TIMINGS = new SlotTimings(SlotTimings.LEASE, Duration.ofSeconds(3));
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Target target = new Target("t", "orders", "lima-a", Address.parse("127.0.0.1:9000"), 4, 330);
    private final Configuration configuration = Configuration.builder()
            .region(new Region("lima"))
            .domain(new FailureDomain("lima-a", "lima"))
            .target(target)
            .build(1);
    private final Roster first = Roster.of(1, 1, List.of(entry("a-1", true), entry("a-2", true)));
    private final String ownerName = first.owner(target, "lima").orElseThrow().host();
    private final String peerName = ownerName.equals("a-1") ? "a-2" : "a-1";
    private final Slots owner = slots(ownerName);
    private final Slots peer = slots(peerName);

    private static Roster.Entry entry(String host, boolean active) {
        return new Roster.Entry(host, "lima", "lima-a", 1, active);
    }

    private Slots slots(String name) {
        Slots slots = Slots.of(name, 1, true, TIMINGS, time);
        slots.configure(configuration);
        slots.adopt(first);
        return slots;
    }

    private void exchangeRosters(Slots asker, String askerName, Slots replier, String replierName) {
        asker.tick()
                .forEach(out -> replier.receive(askerName, (RosterAsk) out.message())
                        .ifPresent(reply -> asker.receive(replierName, reply)));
    }

    @Test
    void ownerHoldsAllSlotsOnceItsPeerHasReplied() {
        assertEquals(SlotAllowance.NONE, owner.allowance(target));
        exchangeRosters(owner, ownerName, peer, peerName);
        assertEquals(SlotAllowance.FULL, owner.allowance(target));
        assertEquals(SlotAllowance.NONE, peer.allowance(target));
    }

    @Test
    void unconfirmedOwnerRetainsHalfOfItsSlots() {
        exchangeRosters(owner, ownerName, peer, peerName);
        assertEquals(SlotAllowance.FULL, owner.allowance(target));
        time.advance(SlotTimings.LEASE);
        assertEquals(SlotAllowance.RETAINED, owner.allowance(target));
        assertEquals(2, SlotAllowance.RETAINED.slots(target));
    }

    @Test
    void leavingOwnerConcedesWhenItsRequestsHaveEnded() {
        exchangeRosters(owner, ownerName, peer, peerName);
        assertTrue(owner.tryAcquire(target));
        Roster next = first.next(List.of(entry(ownerName, false), entry(peerName, true)));
        owner.adopt(next);
        peer.adopt(next);
        exchangeRosters(peer, peerName, owner, ownerName);
        assertEquals(SlotAllowance.NONE, peer.allowance(target));
        assertEquals(SlotAllowance.NONE, owner.allowance(target));
        owner.release(target);
        exchangeRosters(peer, peerName, owner, ownerName);
        assertEquals(SlotAllowance.FULL, peer.allowance(target));
    }

    @Test
    void newOwnerWaitsForRequestsOfARemovedHost() {
        exchangeRosters(owner, ownerName, peer, peerName);
        assertTrue(owner.tryAcquire(target));
        peer.adopt(first.next(List.of(entry(peerName, true))));
        assertEquals(SlotAllowance.NONE, peer.allowance(target));
        time.advance(TIMINGS.longestRequest());
        assertEquals(SlotAllowance.NONE, peer.allowance(target));
        time.advance(Duration.ofSeconds(1));
        assertEquals(SlotAllowance.FULL, peer.allowance(target));
    }
}
