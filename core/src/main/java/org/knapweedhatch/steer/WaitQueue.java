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

    private final Map<String, Lane> lanes = new LinkedHashMap<>();
    private final Deque<Lane> turns = new ArrayDeque<>();
    private int size;

    /** The waiting requests of one team. */
    private static final class Lane {
        private final Deque<Job> jobs = new ArrayDeque<>();
        private double weight = 1;
        private double deficit;
    }

    int size() {
        return size;
    }

    void add(Job job, double weight) {
        Lane lane = lanes.computeIfAbsent(job.team(), team -> new Lane());
        lane.weight = weight;
        if (lane.jobs.isEmpty()) {
            lane.deficit = 0;
            turns.addLast(lane);
        }
        lane.jobs.addLast(job);
        size++;
    }

    /** Returns how many requests would be served before a new one of a team. */
    double ahead(String team, double weight) {
        Lane own = lanes.get(team);
        double position = (own == null ? 0 : own.jobs.size()) + 1;
        double ahead = position - 1;
        for (Lane lane : turns) {
            if (lane != own) {
                ahead += Math.min(lane.jobs.size(), position * lane.weight / weight);
            }
        }
        return ahead;
    }

    /** Removes and returns the request whose turn it is. */
    Optional<Job> poll() {
        if (size == 0) {
            return Optional.empty();
        }
        double lightest = turns.stream().mapToDouble(lane -> lane.weight).min().orElse(1);
        Lane lane = turns.peekFirst();
        while (lane.deficit < 1) {
            lane.deficit += lane.weight / lightest;
            if (lane.deficit < 1) {
                turns.addLast(turns.removeFirst());
                lane = turns.peekFirst();
            }
        }
        lane.deficit--;
        Job job = lane.jobs.removeFirst();
        size--;
        if (lane.jobs.isEmpty()) {
            turns.removeFirst();
        } else if (lane.deficit < 1) {
            turns.addLast(turns.removeFirst());
        }
        return Optional.of(job);
    }

    /** Removes one request; returns whether it waited. */
    boolean remove(long request) {
        for (Lane lane : turns) {
            if (lane.jobs.removeIf(job -> job.request() == request)) {
                size--;
                if (lane.jobs.isEmpty()) {
                    turns.remove(lane);
                }
                return true;
            }
        }
        return false;
    }

    /** Removes and returns the requests whose deadline leaves no time to run before {@code latestStart}. */
    List<Job> expire(long latestStart) {
        List<Job> expired = new ArrayList<>();
        for (Iterator<Lane> it = turns.iterator(); it.hasNext(); ) {
            Lane lane = it.next();
            lane.jobs.removeIf(job -> job.deadlineNanos() <= latestStart && expired.add(job));
            if (lane.jobs.isEmpty()) {
                it.remove();
            }
        }
        size -= expired.size();
        return expired;
    }
}
