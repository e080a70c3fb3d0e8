package org.knapweedhatch.resource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OpenConnectionsTest {

    private final OpenConnections<String> open = OpenConnections.of(3);

    @Test
    void longestIdleConnectionIsEvictedFirst() {
        open.add("a");
        open.add("b");
        open.add("c");
        open.markInUse("a");
        open.markIdle("a");
        assertEquals(Optional.of("b"), open.add("d"));
        assertEquals(Optional.of("c"), open.add("e"));
        assertEquals(3, open.size());
    }

    @Test
    void connectionInUseIsNeverEvicted() {
        for (String name : new String[] {"a", "b", "c"}) {
            open.add(name);
            open.markInUse(name);
        }
        assertEquals(Optional.of("d"), open.add("d"));
        assertEquals(3, open.size());
    }

    @Test
    void longestIncompleteHeadIsEvictedWhereAllOthersAreInUse() {
        open.add("a");
        open.markInUse("a");
        for (String name : new String[] {"b", "c"}) {
            open.add(name);
            open.markReceivingHead(name);
        }
        assertEquals(Optional.of("b"), open.add("d"));
        open.markInUse("d");
        assertEquals(Optional.of("c"), open.add("e"));
    }

    @Test
    void idleConnectionIsEvictedBeforeAnIncompleteHead() {
        open.add("a");
        open.markReceivingHead("a");
        open.add("b");
        open.markInUse("b");
        open.markIdle("b");
        open.add("c");
        assertEquals(Optional.of("b"), open.add("d"));
    }

    @Test
    void removedConnectionDoesNotCountAndIsNotMarkedIdle() {
        open.add("a");
        open.remove("a");
        open.markIdle("a");
        assertEquals(0, open.size());
        assertTrue(open.removeLongestIdle().isEmpty());
    }

    @ParameterizedTest
    @ValueSource(ints = {64, 256, 1_024, 4_100, 8_192, 1_000_000})
    void limitsLeaveDescriptorsForConnectionsToTargetsInUse(int descriptors) {
        ConnectionLimits room = ConnectionLimits.of(descriptors);
        assertTrue(room.callerConnections() + room.idleTargetConnections() <= descriptors * 0.8, room.toString());
    }
}
