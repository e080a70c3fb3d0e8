package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WaitQueueTest {

    private final WaitQueue queue = new WaitQueue();

    private static SteeringJob job(long requestId, String team, long deadline) {
        return new SteeringJob(requestId, "orders", team, "lima", deadline, 0, 0, "", Set.of(), Set.of());
    }

    @Test
    void teamsAreServedByTheirWeights() {
        for (int i = 0; i < 100; i++) {
            queue.add(job(i, "large", 1000), 300);
            queue.add(job(100 + i, "small", 1000), 100);
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 80; i++) {
            served.merge(queue.poll().orElseThrow().team(), 1, Integer::sum);
        }
        assertEquals(Map.of("large", 60, "small", 20), served);
    }

    @Test
    void quietTeamDoesNotWaitForANoisyTeamsQueue() {
        for (int i = 0; i < 100; i++) {
            queue.add(job(i, "noisy", 1000), 100);
        }
        assertTrue(queue.requestsAhead("quiet", 100) <= 1);
        queue.add(job(200, "quiet", 1000), 100);
        queue.poll();
        assertEquals("quiet", queue.poll().orElseThrow().team());
    }

    @Test
    void expiredRequestsLeaveTheQueue() {
        queue.add(job(1, "crew", 10), 1);
        queue.add(job(2, "crew", 30), 1);
        assertEquals(1, queue.removeExpired(20).size());
        assertEquals(1, queue.size());
        assertTrue(queue.remove(2));
        assertTrue(queue.poll().isEmpty());
    }
}
