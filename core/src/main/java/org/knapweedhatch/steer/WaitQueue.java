package org.knapweedhatch.steer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queue of the requests of one service that wait for a slot.
 *
 * <p>Teams are served by deficit round robin, weighted by the rates of their contracts.
 *
 * <p>Not thread-safe; guarded by the lock of its {@link ServiceShard}.
 */
final class WaitQueue {

    private final Map<String, TeamQueue> teamQueues = new LinkedHashMap<>();
    private final Deque<TeamQueue> roundRobin = new ArrayDeque<>();
    private int size;

    /** The queued requests of one team. */
    private static final class TeamQueue {
        private final Deque<SteeringJob> jobs = new ArrayDeque<>();
        private double weight = 1;
        private double deficit;
    }

    int size() {
        return size;
    }

    void add(SteeringJob job, double weight) {
        TeamQueue queue = teamQueues.computeIfAbsent(job.team(), team -> new TeamQueue());
        queue.weight = weight;
        if (queue.jobs.isEmpty()) {
            queue.deficit = 0;
            roundRobin.addLast(queue);
        }
        queue.jobs.addLast(job);
        size++;
    }

    /** Returns how many queued requests would be served before a new request of a team. */
    double requestsAhead(String team, double weight) {
        TeamQueue own = teamQueues.get(team);
        double position = (own == null ? 0 : own.jobs.size()) + 1;
        double ahead = position - 1;
        for (TeamQueue queue : roundRobin) {
            if (queue != own) {
                ahead += Math.min(queue.jobs.size(), position * queue.weight / weight);
            }
        }
        return ahead;
    }

    /** Removes and returns the next request; empty if the queue is empty. */
    Optional<SteeringJob> poll() {
        if (size == 0) {
            return Optional.empty();
        }
        double lightest =
                roundRobin.stream().mapToDouble(queue -> queue.weight).min().orElse(1);
        TeamQueue queue = roundRobin.peekFirst();
        while (queue.deficit < 1) {
            queue.deficit += queue.weight / lightest;
            if (queue.deficit < 1) {
                roundRobin.addLast(roundRobin.removeFirst());
                queue = roundRobin.peekFirst();
            }
        }
        queue.deficit--;
        SteeringJob job = queue.jobs.removeFirst();
        size--;
        if (queue.jobs.isEmpty()) {
            roundRobin.removeFirst();
        } else if (queue.deficit < 1) {
            roundRobin.addLast(roundRobin.removeFirst());
        }
        return Optional.of(job);
    }

    /** Removes a request; returns whether it was queued. */
    boolean remove(long requestId) {
        for (TeamQueue queue : roundRobin) {
            if (queue.jobs.removeIf(job -> job.requestId() == requestId)) {
                size--;
                if (queue.jobs.isEmpty()) {
                    roundRobin.remove(queue);
                }
                return true;
            }
        }
        return false;
    }

    /** Removes and returns the requests whose deadline is not after {@code latestStart}, which are too late to run. */
    List<SteeringJob> removeExpired(long latestStart) {
        List<SteeringJob> expired = new ArrayList<>();
        for (Iterator<TeamQueue> it = roundRobin.iterator(); it.hasNext(); ) {
            TeamQueue queue = it.next();
            queue.jobs.removeIf(job -> job.deadlineNanos() <= latestStart && expired.add(job));
            if (queue.jobs.isEmpty()) {
                it.remove();
            }
        }
        size -= expired.size();
        return expired;
    }
}
