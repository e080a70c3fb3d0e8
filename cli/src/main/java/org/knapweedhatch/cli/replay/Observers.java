package org.knapweedhatch.cli.replay;

import java.util.List;
import org.knapweedhatch.cli.replay.check.Observer;
import org.knapweedhatch.cli.replay.check.Outcome;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.world.Configuration;

/** Passes everything on to several observers. */
final class Observers implements Observer {

    private final List<Observer> observers;

    Observers(List<Observer> observers) {
        this.observers = List.copyOf(observers);
    }

    @Override
    public void arrived(Request request) {
        observers.forEach(o -> o.arrived(request));
    }

    @Override
    public void admitted(long nanos, String host, Request request, String team) {
        observers.forEach(o -> o.admitted(nanos, host, request, team));
    }

    @Override
    public void started(long nanos, Request request, String team, String target) {
        observers.forEach(o -> o.started(nanos, request, team, target));
    }

    @Override
    public void finished(long nanos, Request request, String target) {
        observers.forEach(o -> o.finished(nanos, request, target));
    }

    @Override
    public void moved(long nanos, Request request, String from, String to) {
        observers.forEach(o -> o.moved(nanos, request, from, to));
    }

    @Override
    public void sent(long nanos, String link, long bytes) {
        observers.forEach(o -> o.sent(nanos, link, bytes));
    }

    @Override
    public void answered(long nanos, Request request, Outcome outcome) {
        observers.forEach(o -> o.answered(nanos, request, outcome));
    }

    @Override
    public void accepted(long nanos, Configuration configuration) {
        observers.forEach(o -> o.accepted(nanos, configuration));
    }

    @Override
    public void applied(long nanos, String host, long process, long number) {
        observers.forEach(o -> o.applied(nanos, host, process, number));
    }

    @Override
    public void reachable(long nanos, String host, boolean reachable) {
        observers.forEach(o -> o.reachable(nanos, host, reachable));
    }

    @Override
    public void ended(long nanos) {
        observers.forEach(o -> o.ended(nanos));
    }
}
