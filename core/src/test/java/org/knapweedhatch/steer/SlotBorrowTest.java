package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.clock.ManualTime;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Target;

/** A silent owner and a host that borrows its slots, with three remote hosts that complete a majority. */
class SlotBorrowTest {

    private static final SlotTimings TIMINGS = new SlotTimings(SlotTimings.LEASE, Duration.ofSeconds(3));
    private static final List<String> REMOTE_HOSTS = List.of("far-1", "far-2", "far-3");
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Target target = new Target("t", "orders", "lima-a", Address.parse("127.0.0.1:9000"), 4, 330);
    private final Map<String, Slots> hosts = new HashMap<>();

    private static Roster.Entry near(String host, boolean active) {
        return new Roster.Entry(host, "lima", "lima-a", 1, active);
    }

    private static List<Roster.Entry> with(Roster.Entry... near) {
        List<Roster.Entry> entries = new ArrayList<>(List.of(near));
        REMOTE_HOSTS.forEach(host -> entries.add(new Roster.Entry(host, "arequipa", host, 1, true)));
        return entries;
    }

    private void start(String host, Roster roster) {
        Slots slots = Slots.of(host, 1, true, TIMINGS, time);
        slots.configure(Configuration.builder()
                .region(new Region("lima"))
                .domain(new FailureDomain("lima-a", "lima"))
                .target(target)
                .build(1));
        slots.adopt(roster);
        hosts.put(host, slots);
    }

    private void adopt(Roster roster, List<String> adopters) {
        adopters.forEach(host -> hosts.get(host).adopt(roster));
    }

    private void ask(String asker, List<String> repliers) {
        RosterAsk ask = (RosterAsk) hosts.get(asker).tick().get(0).message();
        for (String replier : repliers) {
            hosts.get(replier)
                    .receive(asker, ask)
                    .ifPresent(reply -> hosts.get(asker).receive(replier, reply));
        }
    }

    private SlotAllowance allowance(String host) {
        return hosts.get(host).allowance(target);
    }

    @Test
    void hostUnknownToTheSilentOwnerBorrowsNothing() {
        Roster alone = Roster.of(1, 1, with(near("a-1", true)));
        start("a-1", alone);
        REMOTE_HOSTS.forEach(host -> start(host, alone));
        assertEquals(SlotAllowance.FULL, allowance("a-1"));
        Roster joined = alone.next(with(near("a-1", true), near("a-2", true)));
        start("a-2", joined);
        Roster ownerInactive = joined.next(with(near("a-1", false), near("a-2", true)));
        adopt(ownerInactive, List.of("a-2", "far-1", "far-2", "far-3"));
        ask("a-2", REMOTE_HOSTS);
        time.advance(TIMINGS.takeOverDelay());
        ask("a-2", REMOTE_HOSTS);
        assertEquals(SlotAllowance.FULL, allowance("a-1"));
        assertEquals(SlotAllowance.NONE, allowance("a-2"));
    }

    @Test
    void ownerThatMissedARosterRegainsAllSlotsOnlyAfterTheBorrowerConcedes() {
        borrowAndReturn(false);
    }

    @Test
    void ownerThatRanOnWhileInactiveRegainsAllSlotsOnlyAfterTheBorrowerConcedes() {
        borrowAndReturn(true);
    }

    private void borrowAndReturn(boolean ownerSeesItself) {
        Roster both = Roster.of(1, 1, with(near("a-1", true), near("a-2", true)));
        List.of("a-1", "a-2").forEach(host -> start(host, both));
        REMOTE_HOSTS.forEach(host -> start(host, both));
        String owner = both.owner(target, "lima").orElseThrow().host();
        String borrower = owner.equals("a-1") ? "a-2" : "a-1";
        ask(owner, List.of(borrower));
        ask(borrower, List.of(owner));
        assertEquals(SlotAllowance.FULL, allowance(owner));
        Roster ownerInactive = both.next(with(near(owner, false), near(borrower, true)));
        adopt(ownerInactive, List.of(borrower, "far-1", "far-2", "far-3"));
        ask(borrower, REMOTE_HOSTS);
        time.advance(TIMINGS.takeOverDelay());
        ask(borrower, REMOTE_HOSTS);
        assertEquals(SlotAllowance.RETAINED, allowance(owner));
        assertEquals(SlotAllowance.BORROWED, allowance(borrower));
        if (ownerSeesItself) {
            assertTrue(hosts.get(owner).tryAcquire(target));
            adopt(ownerInactive, List.of(owner));
            assertEquals(SlotAllowance.NONE, allowance(owner));
        }
        Roster ownerActive = ownerInactive.next(with(near(owner, true), near(borrower, true)));
        adopt(ownerActive, List.of(owner, "far-1", "far-2", "far-3"));
        ask(owner, REMOTE_HOSTS);
        assertEquals(SlotAllowance.BORROWED, allowance(borrower));
        assertEquals(SlotAllowance.RETAINED, allowance(owner));
        adopt(ownerActive, List.of(borrower));
        ask(owner, List.of(borrower));
        assertEquals(SlotAllowance.FULL, allowance(owner));
        assertEquals(SlotAllowance.NONE, allowance(borrower));
    }
}
