package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.View;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;

/**
 * All steering decisions of one host; each service is a shard under its own lock.
 *
 * <pre>{@code
 * Steering steering = Steering.builder(self, slots).time(time).links(links).build();
 * steering.configure(configuration);
 * steering.view(view);
 * Placement placement = steering.arrive(job);
 * }</pre>
 */
public final class Steering {

    private final Host self;
    private final Slots slots;
    private final ServiceShard.Surroundings around;
    private final Map<String, ServiceShard> shards = new ConcurrentHashMap<>();
    private volatile Configuration configuration = Configuration.empty();
    private volatile List<Host> others = List.of();

    private Steering(Builder b) {
        self = b.self;
        slots = b.slots;
        around = new ServiceShard.Surroundings(b.time, b.distances, b.links, b.events);
    }

    /** Returns a builder for a host and its slots. */
    public static Builder builder(Host self, Slots slots) {
        return new Builder(Validate.notNull(self, "self"), Validate.notNull(slots, "slots"));
    }

    /** Takes a configuration in, and gives its targets to the slots. */
    public synchronized void configure(Configuration next) {
        slots.configure(next);
        configuration = next;
        for (String service : next.services().keySet()) {
            shard(service);
        }
        shards.values().forEach(shard -> shard.configure(next));
    }

    /** Takes a view of the hosts in; only living hosts that do not leave get requests. */
    public synchronized void view(View view) {
        others = view.members().values().stream()
                .filter(member -> member.takesWork())
                .map(Member::host)
                .filter(host -> !host.name().equals(self.name()) && !configuration.isDraining(host))
                .toList();
        shards.values().forEach(shard -> shard.hosts(others));
    }

    private ServiceShard shard(String service) {
        return shards.computeIfAbsent(service, name -> {
            ServiceShard shard = new ServiceShard(name, self.region(), slots, around);
            shard.configure(configuration);
            shard.hosts(others);
            return shard;
        });
    }

    /** Places a request that has just arrived. */
    public Placement arrive(Job job) {
        return shard(job.service()).arrive(job);
    }

    /** Places a request again that is proved not to have run, or that may run twice. */
    public Placement again(Job job) {
        return shard(job.service()).again(job);
    }

    /** Frees the slot of a request that is over at its target; returns the waiting requests placed by that. */
    public List<Placement> ended(Target target, TargetResult result, Duration taken) {
        return shard(target.service()).ended(target, result, taken);
    }

    /** Ends a request that its target may still run; its slot stays taken until a monotonic reading. */
    public void linger(long request, Target target, TargetResult result, Duration taken, long untilNanos) {
        shard(target.service()).linger(request, target, result, taken, untilNanos);
    }

    /** Frees the slot of a request that lingered, now that its target is known to have ended it. */
    public List<Placement> over(String service, long request) {
        return shard(service).over(request);
    }

    /** Notes that a request sent to another host came back. */
    public List<Placement> relayEnded(String service, String host, RelayResult result) {
        return shard(service).relayEnded(host, result);
    }

    /** Takes another host's load report in. */
    public List<Placement> on(String from, LoadReport report) {
        List<Placement> placed = new ArrayList<>();
        for (LoadReport.ServiceLoad load : report.services()) {
            if (shards.containsKey(load.service())) {
                placed.addAll(shard(load.service()).heard(from, load));
            }
        }
        return placed;
    }

    /** Takes a target's own health report in; it can only lower what the target is given. */
    public void report(Target target, boolean healthy) {
        shard(target.service()).report(target.name(), healthy);
    }

    /** Returns the report to send to other hosts. */
    public LoadReport report() {
        return new LoadReport(shards.values().stream().map(ServiceShard::load).toList());
    }

    /** Ends lingering slots and refuses requests that waited too long; to be called every few milliseconds. */
    public List<Placement> tick() {
        List<Placement> placed = new ArrayList<>();
        shards.values().forEach(shard -> placed.addAll(shard.tick()));
        return placed;
    }

    /** Takes a waiting request out; returns whether it waited. */
    public boolean cancel(Job job) {
        return shard(job.service()).cancel(job.request());
    }

    /** Gathers the parts of a {@link Steering}. */
    public static final class Builder {
        private final Host self;
        private final Slots slots;
        private TimeSource time = TimeSource.system();
        private Distances distances = Distances.uniform(Duration.ofMillis(20));
        private LinkBudget links = LinkBudget.unbounded();
        private EventSink events = EventSink.none();

        private Builder(Host self, Slots slots) {
            this.self = self;
            this.slots = slots;
        }

        /** Sets the clock. */
        public Builder time(TimeSource source) {
            time = source;
            return this;
        }

        /** Sets the measured times between regions. */
        public Builder distances(Distances measured) {
            distances = measured;
            return this;
        }

        /** Sets the budgets of the links. */
        public Builder links(LinkBudget budget) {
            links = budget;
            return this;
        }

        /** Sets where events are recorded. */
        public Builder events(EventSink sink) {
            events = sink;
            return this;
        }

        /** Builds the steering. */
        public Steering build() {
            return new Steering(this);
        }
    }
}
