package org.knapweedhatch.edge;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.answer.IdempotencyClaims;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.RequestCoordinator;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.key.KeyRing;
import org.knapweedhatch.limit.LimitSettings;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.Split;
import org.knapweedhatch.limit.SplitHost;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.steer.SlotTimings;
import org.knapweedhatch.steer.Slots;
import org.knapweedhatch.steer.Steering;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;

/** A host alone in its deployment that owns every slot and every limit. */
final class TestHost implements HostContext {

    private static final long INCARNATION = 1;

    private final TimeSource time = TimeSource.system();
    private final Host self;
    private final Configuration configuration;
    private final KeyRing keys;
    private final Limiter limiter;
    private final Requests requests;

    private TestHost(Address edge, Configuration configuration) {
        this.configuration = configuration;
        self = new Host("lima-a-1", "lima", "lima-a", edge, new Address("127.0.0.1", 1));
        keys = KeyRing.empty().withConfiguration(configuration);
        LimitSettings quick = new LimitSettings(
                Duration.ofMillis(1),
                Duration.ofSeconds(4),
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                Duration.ofHours(24),
                0.0005,
                Duration.ofMillis(200));
        limiter = Limiter.create(quick, self, INCARNATION, time, EventSink.none());
        limiter.split(Split.initial(List.of(new SplitHost(self.name(), "lima", "lima-a", INCARNATION, 0))));
        limiter.configure(configuration);
        Slots slots = Slots.of(self.name(), INCARNATION, true, new SlotTimings(SlotTimings.LEASE, Duration.ZERO), time);
        Steering steering = Steering.builder(self, slots).time(time).build();
        IdempotencyClaims claims = IdempotencyClaims.of(self.name(), INCARNATION, true, time);
        Roster roster = Roster.of(1, 1, List.of(new Roster.Entry(self.name(), "lima", "lima-a", INCARNATION, true)));
        steering.configure(configuration);
        slots.adopt(roster);
        claims.adopt(roster);
        requests = Requests.of(RequestCoordinator.of(steering, claims, time), outgoing -> {});
    }

    static TestHost serving(Address edge, Configuration configuration) {
        TestHost host = new TestHost(edge, configuration);
        host.warm();
        return host;
    }

    private void warm() {
        long until = time.nanos() + Duration.ofMillis(200).toNanos();
        while (time.nanos() < until) {
            limiter.tick();
        }
    }

    /** Drives the limits and the requests, as the daemon's threads do. */
    void tick() {
        limiter.tick();
        requests.tick();
    }

    Requests requests() {
        return requests;
    }

    @Override
    public Host self() {
        return self;
    }

    @Override
    public long incarnation() {
        return INCARNATION;
    }

    @Override
    public TimeSource time() {
        return time;
    }

    @Override
    public Configuration configuration() {
        return configuration;
    }

    @Override
    public KeyRing keys() {
        return keys;
    }

    @Override
    public Limiter limiter() {
        return limiter;
    }

    @Override
    public Optional<Host> host(String name) {
        return Optional.empty();
    }

    @Override
    public RelayProof proofs() {
        return RelayProof.withSecret("sixteen-characters");
    }

    @Override
    public void refused(String team, Reason reason) {}
}
