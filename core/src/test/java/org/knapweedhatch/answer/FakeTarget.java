package org.knapweedhatch.answer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedhatch.world.Target;

/** A simulated target that records which requests it ran, independently of the state of any host. */
final class FakeTarget {

    final Target target;
    final Map<Long, Integer> runsByRequest = new HashMap<>();
    private final Set<Long> running = new HashSet<>();
    boolean dead;
    double slowness = 1;
    int maxRunning;
    long coldUntil;

    FakeTarget(Target target) {
        this.target = target;
    }

    /** Starts a caller's request; returns false if no slot is free and the target sheds it. */
    boolean start(long callerRequest, long run) {
        maxRunning = Math.max(maxRunning, running.size() + 1);
        if (running.size() >= target.slots()) {
            return false;
        }
        running.add(run);
        runsByRequest.merge(callerRequest, 1, Integer::sum);
        return true;
    }

    boolean end(long run) {
        return running.remove(run);
    }

    void kill() {
        dead = true;
        running.clear();
    }

    int running() {
        return running.size();
    }
}
