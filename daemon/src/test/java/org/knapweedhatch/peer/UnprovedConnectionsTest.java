package org.knapweedhatch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against silent connections to the peer port that take all descriptors, or keep other hosts out. */
class UnprovedConnectionsTest {

    private final UnprovedConnections<String> unproved = new UnprovedConnections<>(2);

    @Test
    void theOldestOneMakesRoom() {
        assertEquals(Optional.empty(), unproved.add("a"));
        assertEquals(Optional.empty(), unproved.add("b"));
        assertEquals(Optional.of("a"), unproved.add("c"));
        assertEquals(2, unproved.size());
    }

    @Test
    void oneThatProvedItselfTakesNoRoom() {
        unproved.add("a");
        unproved.remove("a");
        unproved.add("b");
        assertEquals(Optional.empty(), unproved.add("c"));
    }

    @Test
    void silentOnesMakeRoomBeforeOneThatHasGreeted() {
        unproved.add("a");
        unproved.markGreeted("a");
        unproved.add("b");
        assertEquals(Optional.of("b"), unproved.add("c"));
        assertEquals(Optional.of("c"), unproved.add("d"));
    }

    /** Guards against greetings without a proof behind them that leave no time to others. */
    @Test
    void onesThatHaveGreetedKeepHalfOfTheRoomAtMost() {
        unproved.add("a");
        unproved.markGreeted("a");
        unproved.add("b");
        unproved.markGreeted("b");
        assertEquals(Optional.of("a"), unproved.add("c"));
    }

    @Test
    void aClosedConnectionThatHasGreetedTakesNoRoom() {
        unproved.add("a");
        unproved.remove("a");
        unproved.markGreeted("a");
        assertEquals(0, unproved.size());
    }
}
