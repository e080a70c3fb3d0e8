package org.knapweedhatch.cli.replay;

import java.util.SplittableRandom;
import org.knapweedhatch.cli.replay.check.Observer;
import org.knapweedhatch.cli.replay.check.Outcome;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.cli.replay.trace.Deployment;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;

/** What a fleet plays on: the clock and queue, the network, the targets, and those who look on. */
final class Stage {

    private final Deployment deployment;
    private final EventQueue queue;
    private final Observer observer;
    private final Network network;
    private final Servers servers;
    private final SplittableRandom random;
    private final Recorder recorder;

    Stage(Deployment deployment, long seed, EventQueue queue, Observer observer, Recorder recorder) {
        this.deployment = deployment;
        this.queue = queue;
        this.observer = observer;
        this.recorder = recorder;
        random = new SplittableRandom(seed);
        network = new Network(deployment, queue, observer, random.split());
        servers = new Servers(queue, observer, deployment.configuration());
    }

    Deployment deployment() {
        return deployment;
    }

    EventQueue queue() {
        return queue;
    }

    Observer observer() {
        return observer;
    }

    Network network() {
        return network;
    }

    Servers servers() {
        return servers;
    }

    /** Returns a generator of its own, which depends on the seed only. */
    SplittableRandom random() {
        return random.split();
    }

    /** Returns where a host records its events. */
    EventSink events(String host) {
        return recorder.sink(host);
    }

    long now() {
        return queue.now();
    }

    /** Lets the caller receive an outcome after the way back. */
    void answer(Request request, String domain, Outcome outcome) {
        long way = network.callerDelay(request.arrival().region(), domain);
        queue.after(way, () -> observer.answered(now(), request, outcome));
    }

    /** Returns the configuration in force at the start. */
    Configuration configuration() {
        return deployment.configuration();
    }
}
