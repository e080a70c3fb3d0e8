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
 * Requests of one service that wait for a slot, in deficit round robin between teams by the rates of their contracts.
 *
 * <p>Not safe for use by several threads; its shard's lock guards it.
 */
final class WaitQueue {

    private final Map<String, TeamQueue> teamQueues = new LinkedHashMap<>();
    private final Deque<TeamQueue> roundRobin = new ArrayDeque<>();
    private int size;

    /** The waiting requests of one team. */
    private static final class TeamQueue {
        private final Deque<SteeringJob> jobs = new ArrayDeque<>();
        private double weight = 1;
        private double deficit;
    }

    int size() {
        return size;
    }

    void add(SteeringJob job, double weight) {
        TeamQueue lane = teamQueues.computeIfAbsent(job.team(), team -> new TeamQueue());
        lane.weight = weight;
        if (lane.jobs.isEmpty()) {
            lane.deficit = 0;
            roundRobin.addLast(lane);
        }
        lane.jobs.addLast(job);
        size++;
    }

    /** Returns how many requests would be served before a new one of a team. */
    double requestsAhead(String team, double weight) {
        TeamQueue own = teamQueues.get(team);
        double position = (own == null ? 0 : own.jobs.size()) + 1;
        double ahead = position - 1;
        for (TeamQueue lane : roundRobin) {
            if (lane != own) {
                ahead += Math.min(lane.jobs.size(), position * lane.weight / weight);
            }
        }
        return ahead;
    }

    /** Removes and returns the request whose turn it is. */
    Optional<SteeringJob> poll() {
        if (size == 0) {
            return Optional.empty();
        }
        double lightest = roundRobin.stream().mapToDouble(lane -> lane.weight).min().orElse(1);
        TeamQueue lane = roundRobin.peekFirst();
        while (lane.deficit < 1) {
            lane.deficit += lane.weight / lightest;
            if (lane.deficit < 1) {
                roundRobin.addLast(roundRobin.removeFirst());
                lane = roundRobin.peekFirst();
            }
        }
        lane.deficit--;
        SteeringJob job = lane.jobs.removeFirst();
        size--;
        if (lane.jobs.isEmpty()) {
            roundRobin.removeFirst();
        } else if (lane.deficit < 1) {
            roundRobin.addLast(roundRobin.removeFirst());
        }
        return Optional.of(job);
    }

    /** Removes one request; returns whether it waited. */
    boolean remove(long request) {
        for (TeamQueue lane : roundRobin) {
            if (lane.jobs.removeIf(job -> job.requestId() == request)) {
                size--;
                if (lane.jobs.isEmpty()) {
                    roundRobin.remove(lane);
                }
                return true;
            }
        }
        return false;
    }

    /** Removes and returns the requests whose deadline leaves no time to run before {@code latestStart}. */
    List<SteeringJob> removeExpired(long latestStart) {
        List<SteeringJob> expired = new ArrayList<>();
        for (Iterator<TeamQueue> it = roundRobin.iterator(); it.hasNext(); ) {
            TeamQueue lane = it.next();
            lane.jobs.removeIf(job -> job.deadlineNanos() <= latestStart && expired.add(job));
            if (lane.jobs.isEmpty()) {
                it.remove();
            }
        }
        size -= expired.size();
        return expired;
    }
}
