package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;

/** A baseline host: own region only, round robin, a fixed share of each target's slots, one queue per service. */
final class NaiveHost implements FakeHost {

    private final Host self;
    private final FakeWorld world;
    private final Map<String, List<Target>> targets = new HashMap<>();
    private final Map<String, Integer> shares = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Integer> turn = new HashMap<>();
    private final Map<String, Deque<Call>> queues = new HashMap<>();
    private boolean dead;

    NaiveHost(Host self, FakeWorld world) {
        this.self = self;
        this.world = world;
        List<Host> near = world.deployment.hosts().stream()
                .filter(h -> h.region().equals(self.region()))
                .toList();
        int split = 0;
        for (Target target : world.deployment.configuration().targets().values().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .toList()) {
            String region =
                    world.deployment.configuration().regionOf(target.domain()).orElseThrow();
            if (region.equals(self.region())) {
                int place = (near.indexOf(self) + split++) % near.size();
                shares.put(target.name(), (target.slots() + place) / near.size());
                targets.computeIfAbsent(target.service(), s -> new ArrayList<>())
                        .add(target);
            }
        }
    }

    @Override
    public Host self() {
        return self;
    }

    @Override
    public void arrive(Call call) {
        queues.computeIfAbsent(call.service, s -> new ArrayDeque<>()).add(call);
        serve(call.service);
    }

    private void serve(String service) {
        Deque<Call> queue = queues.get(service);
        while (!queue.isEmpty()) {
            Call call = queue.peek();
            if (world.time.nanos() - call.start > world.timeout.toNanos()) {
                queue.poll();
                world.end(call, Call.End.REFUSED_NOT_RUN, Reason.EXPIRED);
                continue;
            }
            Target target = next(service);
            if (target == null) {
                return;
            }
            queue.poll();
            dispatch(call, target);
        }
    }

    private Target next(String service) {
        List<Target> all = targets.getOrDefault(service, List.of());
        for (int i = 0; i < all.size(); i++) {
            int index = turn.merge(service, 1, Integer::sum) % all.size();
            Target target = all.get(index);
            if (running.getOrDefault(target.name(), 0) < shares.get(target.name())) {
                return target;
            }
        }
        return null;
    }

    private void dispatch(Call call, Target target) {
        running.merge(target.name(), 1, Integer::sum);
        FakeTarget fake = world.targets.get(target.name());
        Duration delay = world.deployment.between(self.domain(), target.domain());
        long run = world.newRun();
        world.after(delay, () -> {
            if (fake.dead || !fake.start(call.id, run)) {
                world.after(delay, () -> finish(call, target, Call.End.REFUSED_UNKNOWN));
                return;
            }
            world.after(world.drawServiceTime(fake), () -> {
                boolean whole = fake.end(run);
                world.after(delay, () -> finish(call, target, whole ? Call.End.ANSWERED : Call.End.REFUSED_UNKNOWN));
            });
        });
    }

    private void finish(Call call, Target target, Call.End end) {
        running.merge(target.name(), -1, Integer::sum);
        if (!dead) {
            boolean late = world.time.nanos() - call.start > world.timeout.toNanos();
            world.end(call, late ? Call.End.REFUSED_UNKNOWN : end, late ? Reason.LATE : null);
            serve(target.service());
        }
    }

    @Override
    public void view(MembershipView view) {}

    @Override
    public void adopt(Roster roster) {}

    @Override
    public void kill() {
        dead = true;
        queues.values().forEach(queue -> queue.forEach(call -> world.end(call, Call.End.BROKEN, null)));
    }

    @Override
    public boolean dead() {
        return dead;
    }
}
