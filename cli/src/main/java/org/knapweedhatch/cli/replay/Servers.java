package org.knapweedhatch.cli.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.cli.replay.check.Observer;
import org.knapweedhatch.cli.replay.check.Request;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Target;

/** The targets of a deployment: each runs as many requests as it has slots, and queues the rest. */
final class Servers {

    /** How a request ended at a target. */
    enum Ending {
        /** It ran, and its answer is whole. */
        ANSWERED,
        /** The target refused it and states that it did not run. */
        SHED,
        /** No connection could be made. */
        UNREACHABLE,
        /** The connection was lost after the request had been sent. */
        LOST
    }

    /** Takes the end of a request, at the target's own time. */
    @FunctionalInterface
    interface Reply {
        void ended(Ending ending);
    }

    private record Held(Request request, long deadlineNanos, Reply reply, long process) {}

    private static final class Server {
        private final Target target;
        private final Map<Long, Held> running = new LinkedHashMap<>();
        private final Deque<Held> queued = new ArrayDeque<>();
        private double slowness = 1;
        private boolean sheds;
        private boolean dead;
        private long process;

        Server(Target target) {
            this.target = target;
        }
    }

    private static final long NANOS_PER_MICRO = 1_000;

    private final EventQueue queue;
    private final Observer observer;
    private final Map<String, Server> servers = new HashMap<>();
    private long attempts;

    Servers(EventQueue queue, Observer observer, Configuration configuration) {
        this.queue = queue;
        this.observer = observer;
        configuration.targets().values().forEach(target -> servers.put(target.name(), new Server(target)));
    }

    /** Gives a request to a target now; it ends there by its deadline at the latest. */
    void give(Request request, String team, String name, long deadlineNanos, Reply reply) {
        Server server = servers.get(name);
        if (server.dead) {
            reply.ended(Ending.UNREACHABLE);
            return;
        }
        boolean full = server.running.size() + server.queued.size() >= server.target.connections();
        if (server.sheds || full) {
            reply.ended(Ending.SHED);
            return;
        }
        observer.started(queue.now(), request, team, name);
        server.queued.add(new Held(request, deadlineNanos, reply, server.process));
        runNext(server);
    }

    private void runNext(Server server) {
        while (server.running.size() < server.target.slots() && !server.queued.isEmpty()) {
            Held held = server.queued.poll();
            long attempt = ++attempts;
            server.running.put(attempt, held);
            double work = held.request().arrival().workMicros() * NANOS_PER_MICRO * server.slowness;
            long end = queue.now() + (long) work;
            Ending ending = end <= held.deadlineNanos() ? Ending.ANSWERED : Ending.LOST;
            queue.at(Math.min(end, held.deadlineNanos()), () -> end(server, attempt, held, ending));
        }
    }

    private void end(Server server, long attempt, Held held, Ending ending) {
        if (server.process != held.process()) {
            return;
        }
        server.running.remove(attempt);
        observer.finished(queue.now(), held.request(), server.target.name());
        held.reply().ended(ending);
        runNext(server);
    }

    void slow(String name, double times) {
        servers.get(name).slowness = times;
    }

    void shed(String name, boolean sheds) {
        servers.get(name).sheds = sheds;
    }

    /** Lets a target die: what it holds ends without an answer. */
    void kill(String name) {
        Server server = servers.get(name);
        server.dead = true;
        server.process++;
        List<Held> cut = new ArrayList<>(server.running.values());
        cut.addAll(server.queued);
        server.running.clear();
        server.queued.clear();
        for (Held held : cut) {
            observer.finished(queue.now(), held.request(), name);
            held.reply().ended(Ending.LOST);
        }
    }

    void revive(String name) {
        servers.get(name).dead = false;
    }

    boolean isDead(String name) {
        return servers.get(name).dead;
    }
}
