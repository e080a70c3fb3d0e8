package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.Target;

/**
 * Steering of requests on one host: decides for each request whether it runs here, is relayed, queued or refused.
 *
 * <p>Thread-safe; each service has its own {@link ServiceShard} and lock. Several methods return queued requests that
 * they placed; the caller must act on each of them.
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
    private final ServiceShard.Dependencies dependencies;
    private final Map<String, ServiceShard> shards = new ConcurrentHashMap<>();
    private volatile Configuration configuration = Configuration.empty();
    private volatile List<Host> others = List.of();

    private Steering(Builder b) {
        self = b.self;
        slots = b.slots;
        dependencies = new ServiceShard.Dependencies(b.time, b.latencies, b.links, b.events);
    }

    /** Returns a builder for a host and its slots. */
    public static Builder builder(Host self, Slots slots) {
        return new Builder(Validate.notNull(self, "self"), Validate.notNull(slots, "slots"));
    }

    /** Sets the configuration, also of the slots. */
    public synchronized void configure(Configuration next) {
        slots.configure(next);
        configuration = next;
        for (String service : next.services().keySet()) {
            shard(service);
        }
        shards.values().forEach(shard -> shard.configure(next));
    }

    /** Sets the membership view; only hosts in it that accept requests and are not draining get requests. */
    public synchronized void view(MembershipView view) {
        others = view.members().values().stream()
                .filter(member -> member.takesWork())
                .map(Member::host)
                .filter(host -> !host.name().equals(self.name()) && !configuration.isDraining(host))
                .toList();
        shards.values().forEach(shard -> shard.hosts(others));
    }

    private ServiceShard shard(String service) {
        return shards.computeIfAbsent(service, name -> {
            ServiceShard shard = new ServiceShard(name, self.region(), slots, dependencies);
            shard.configure(configuration);
            shard.hosts(others);
            return shard;
        });
    }

    /** Places a new request. */
    public Placement place(SteeringJob job) {
        return shard(job.service()).placeNew(job);
    }

    /** Places a request again that certainly did not run, or that may run twice. */
    public Placement placeAgain(SteeringJob job) {
        return shard(job.service()).placeAgain(job);
    }

    /** Releases the slot of a request that ended at its target; returns the queued requests that it placed. */
    public List<Placement> requestEnded(Target target, TargetResult result, Duration taken) {
        return shard(target.service()).requestEnded(target, result, taken);
    }

    /** Ends a request that its target may still run; its slot stays acquired until a monotonic time. */
    public void requestAbandoned(long requestId, Target target, TargetResult result, Duration taken, long untilNanos) {
        shard(target.service()).holdSlot(requestId, target, result, taken, untilNanos);
    }

    /** Releases the slot of an abandoned request once its target is known to have ended it; returns placed requests. */
    public List<Placement> abandonedRequestEnded(String service, long requestId) {
        return shard(service).releaseHeldSlot(requestId);
    }

    /** Records the result of a relayed request; returns the queued requests that it placed. */
    public List<Placement> relayEnded(String service, String host, RelayResult result) {
        return shard(service).relayEnded(host, result);
    }

    /** Records the load report of another host; returns the queued requests that it placed. */
    public List<Placement> receive(String from, LoadReport report) {
        List<Placement> placed = new ArrayList<>();
        for (LoadReport.ServiceLoad load : report.services()) {
            if (shards.containsKey(load.service())) {
                placed.addAll(shard(load.service()).reportReceived(from, load));
            }
        }
        return placed;
    }

    /** Records a health report of a target; it can only lower the concurrency limit of the target. */
    public void report(Target target, boolean healthy) {
        shard(target.service()).healthReported(target.name(), healthy);
    }

    /** Returns the report to send to other hosts. */
    public LoadReport report() {
        return new LoadReport(shards.values().stream().map(ServiceShard::load).toList());
    }

    /** Releases held slots and refuses requests that waited too long; must be called every few milliseconds. */
    public List<Placement> tick() {
        List<Placement> placed = new ArrayList<>();
        shards.values().forEach(shard -> placed.addAll(shard.tick()));
        return placed;
    }

    /** Removes a request from the queue; returns whether it was queued. */
    public boolean cancel(SteeringJob job) {
        return shard(job.service()).cancel(job.requestId());
    }

    /** Builder of {@link Steering}. */
    public static final class Builder {
        private final Host self;
        private final Slots slots;
        private TimeSource time = TimeSource.system();
        private RegionLatencies latencies = RegionLatencies.uniform(Duration.ofMillis(20));
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

        /** Sets the measured latencies between regions; by default 20 ms one way. */
        public Builder latencies(RegionLatencies measured) {
            latencies = measured;
            return this;
        }

        /** Sets the byte budgets of the links between regions; unlimited by default. */
        public Builder links(LinkBudget budget) {
            links = budget;
            return this;
        }

        /** Sets the sink of timeline events. */
        public Builder events(EventSink sink) {
            events = sink;
            return this;
        }

        /** Builds the {@link Steering}. */
        public Steering build() {
            return new Steering(this);
        }
    }
}
