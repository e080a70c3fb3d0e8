package org.knapweedhatch.cli.replay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.steer.ClientTable;
import org.knapweedhatch.steer.LookUp;
import org.knapweedhatch.steer.LookUpAnswer;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/** One process of a host: it lives, may stand still, and dies; its parts run one step at a time. */
final class HostProcess {

    private final Host host;
    private final long number;
    private final boolean first;
    private final RealFleet fleet;
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private final HostParts parts;
    private final RequestDesk desk;
    private boolean alive = true;
    private boolean paused;
    private boolean notedReachable;

    HostProcess(Host host, long number, boolean first, RealFleet fleet) {
        this.host = host;
        this.number = number;
        this.first = first;
        this.fleet = fleet;
        parts = new HostParts(this, fleet);
        desk = new RequestDesk(this, parts, fleet);
    }

    void start() {
        parts.start();
    }

    Host host() {
        return host;
    }

    String name() {
        return host.name();
    }

    String domain() {
        return host.domain();
    }

    /** Returns the number of this process over the whole replay. */
    long number() {
        return number;
    }

    /** Returns whether no process ran at this host before. */
    boolean isFirst() {
        return first;
    }

    RequestDesk desk() {
        return desk;
    }

    HostParts parts() {
        return parts;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isRunning() {
        return alive && !paused;
    }

    boolean isServing() {
        return isRunning() && parts.isReady();
    }

    /** Runs a step now, or when the process wakes; never once it is dead. */
    void run(Runnable step) {
        if (!alive) {
            return;
        }
        if (paused) {
            backlog.add(step);
        } else {
            step.run();
        }
    }

    /** Runs a step over and over. */
    void every(Duration period, Runnable step) {
        fleet.stage().queue().after(period.toNanos(), () -> {
            if (!alive) {
                return;
            }
            if (!paused) {
                step.run();
            }
            every(period, step);
        });
    }

    void kill() {
        alive = false;
        backlog.clear();
    }

    void pause(boolean begins) {
        paused = begins;
        List<Runnable> steps = new ArrayList<>(backlog);
        if (!paused) {
            backlog.clear();
            steps.forEach(Runnable::run);
        }
    }

    /** Notes whether others reach this host; returns whether that is new. */
    boolean noteReachable(boolean reachable) {
        boolean changed = reachable != notedReachable;
        notedReachable = reachable;
        return changed;
    }

    /** Sends messages to other hosts. */
    void send(List<OutgoingMessage> messages) {
        for (OutgoingMessage outgoing : messages) {
            fleet.process(outgoing.toHost())
                    .ifPresent(to -> fleet.stage()
                            .network()
                            .post(
                                    domain(),
                                    to.domain(),
                                    () -> fleet.process(to.name())
                                            .ifPresent(now ->
                                                    now.run(() -> now.parts().receive(name(), outgoing.message())))));
        }
    }

    /** Answers which hosts a caller should use. */
    LookUpAnswer lookUp(String region, String key) {
        Configuration configuration = parts.configuration();
        ApiKey known = configuration.keys().get(key);
        ClientTable table = ClientTable.of(configuration.clientBlocks().values());
        LookUp lookUp = LookUp.of(table, configuration, parts.view(), parts.distances());
        return lookUp.answer(fleet.stage().deployment().callerIp(region), known == null ? "unknown" : known.team());
    }
}
