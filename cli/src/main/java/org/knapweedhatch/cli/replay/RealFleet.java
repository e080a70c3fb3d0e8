package org.knapweedhatch.cli.replay;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.knapweedhatch.cli.replay.check.Outcome;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.cli.replay.trace.Change;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.cli.replay.trace.TraceLine;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/** A fleet that decides with the code of the daemon: every host has its own parts, and they meet by messages only. */
final class RealFleet implements FleetModel {

    private static final String REPLACED = "-r";
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    private final Stage stage;
    private final Decisions decisions;
    private final PlatformDoor platform;
    private final Callers callers;
    private final Operators operators;
    private final Moves moves;
    private final Map<String, HostProcess> processes = new TreeMap<>();
    private final Map<Long, HostProcess> openAt = new HashMap<>();
    private final Map<Long, Request> open = new LinkedHashMap<>();
    private long started;

    RealFleet(Stage stage) {
        this(stage, Decisions.REAL);
    }

    /** Creates a fleet whose decisions pass through a wrapper. */
    RealFleet(Stage stage, Decisions decisions) {
        this.stage = stage;
        this.decisions = decisions;
        platform = new PlatformDoor(stage);
        operators = new Operators(stage, platform);
        callers = new Callers(stage, this);
        moves = new Moves(stage);
    }

    @Override
    public String name() {
        return "real";
    }

    @Override
    public void start() {
        operators.first(stage.configuration());
        stage.deployment().hosts().forEach(host -> startProcess(host, true));
    }

    private void startProcess(Host host, boolean first) {
        HostProcess process = new HostProcess(host, ++started, first, this);
        processes.put(host.name(), process);
        platform.list(host, true);
        process.start();
        noteReach();
    }

    Stage stage() {
        return stage;
    }

    Decisions decisions() {
        return decisions;
    }

    PlatformDoor platform() {
        return platform;
    }

    Moves moves() {
        return moves;
    }

    Optional<HostProcess> process(String name) {
        return Optional.ofNullable(processes.get(name));
    }

    /** Returns a serving host that a caller of a region reaches, of its own region where there is one. */
    Optional<HostProcess> serving(String region) {
        List<HostProcess> all = processes.values().stream()
                .filter(p -> p.isServing() && !stage.network().lostRegions().contains(Deployment.regionOf(p.domain())))
                .toList();
        return all.stream()
                .filter(p -> Deployment.regionOf(p.domain()).equals(region))
                .findFirst()
                .or(() -> all.stream().findFirst());
    }

    @Override
    public void arrive(Request request) {
        callers.send(request);
    }

    /** Notes which process a caller waits for. */
    void open(Request request, HostProcess process) {
        open.put(request.id(), request);
        openAt.put(request.id(), process);
        stage.queue().at(request.nanos() + TIMEOUT_NANOS, () -> giveUp(request));
    }

    /** Returns whether a caller still waits for a process. */
    boolean isOpen(Request request, HostProcess process) {
        return openAt.get(request.id()) == process;
    }

    /** Gives a caller the outcome of its request; a caller that has gone gets none. */
    void answer(Request request, HostProcess process, Outcome outcome) {
        if (openAt.remove(request.id(), process)) {
            open.remove(request.id());
            stage.answer(request, process.domain(), outcome);
        }
    }

    /** Ends the wait of a caller whose host does not answer in time. */
    private void giveUp(Request request) {
        HostProcess process = openAt.get(request.id());
        if (process != null) {
            answer(request, process, Outcome.unknown(Outcome.LOST));
        }
    }

    @Override
    public void fail(TraceLine.Failure failure, boolean begins) {
        String subject = failure.subject();
        switch (failure.kind()) {
            case HOST_RESTART -> {
                if (begins) {
                    kill(processes.get(subject));
                } else {
                    startProcess(processes.get(subject).host(), false);
                }
            }
            case HOST_REPLACE -> {
                if (begins) {
                    kill(processes.get(subject));
                } else {
                    startProcess(replacement(processes.get(subject).host()), false);
                }
            }
            case HOST_PAUSE -> processes.get(subject).pause(begins);
            case REGION_LOST -> loseRegion(subject, begins);
            case PLATFORM_DOWN -> platform.down(begins);
            case PLATFORM_SLOW -> platform.slow(begins ? failure.amount() : 0);
            case PLATFORM_LOSES_ANSWERS -> platform.losesAnswers(begins);
            default -> {}
        }
        noteReach();
    }

    private void loseRegion(String region, boolean begins) {
        for (HostProcess process : List.copyOf(processes.values())) {
            if (!Deployment.regionOf(process.domain()).equals(region)) {
                continue;
            }
            if (begins) {
                kill(process);
            } else {
                startProcess(process.host(), false);
            }
        }
    }

    private void kill(HostProcess process) {
        process.kill();
        platform.list(process.host(), false);
        process.desk().cut();
        List<Request> cut = open.values().stream()
                .filter(request -> openAt.get(request.id()) == process)
                .toList();
        cut.forEach(request -> answer(request, process, Outcome.unknown(Outcome.LOST)));
    }

    private static Host replacement(Host host) {
        Address edge = new Address(
                host.edge().ip().replace("127.0.1.", "127.0.3."), host.edge().port());
        Address peer = new Address(edge.ip(), host.peer().port());
        return new Host(host.name() + REPLACED, host.region(), host.domain(), edge, peer);
    }

    /** Tells the observers which hosts can be reached by anyone. */
    private void noteReach() {
        for (HostProcess process : processes.values()) {
            boolean reachable = process.isRunning() && stage.network().reachesPlatform(process.domain());
            if (process.noteReachable(reachable)) {
                stage.observer().reachable(stage.now(), process.name(), reachable);
            }
        }
    }

    @Override
    public void release(String operator, Change change) {
        operators.send(operator, change);
    }
}
