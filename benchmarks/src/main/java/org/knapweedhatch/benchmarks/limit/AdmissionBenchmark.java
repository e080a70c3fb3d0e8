package org.knapweedhatch.benchmarks.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.limit.Admission;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.LimitSettings;
import org.knapweedhatch.limit.Limiter;
import org.knapweedhatch.limit.Split;
import org.knapweedhatch.limit.SplitHost;
import org.knapweedhatch.timeline.EventSink;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Team;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The time and the allocation of one decision; run it with {@code -t 1} and {@code -t 8}, and {@code -prof gc}. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class AdmissionBenchmark {

    /** How many teams there are. */
    @Param({"8", "1000"})
    public int teams;

    private final List<LimitId> limits = new ArrayList<>();
    private Limiter limiter;

    /** Creates the limits of one host that owns everything. */
    @Setup
    public void create() throws InterruptedException {
        Address address = Address.parse("127.0.0.1:9000");
        Host host = new Host("h0", "r0", "d0", address, address);
        limiter = Limiter.create(LimitSettings.standard(), host, 1, TimeSource.system(), EventSink.none());
        Configuration.Builder builder = Configuration.builder();
        for (int i = 0; i < teams; i++) {
            builder.team(new Team("team-" + i, new RateLimit(1e9, 1_000_000_000L)));
            limits.add(LimitId.team("team-" + i));
        }
        limiter.configure(builder.build(1));
        limiter.split(Split.initial(List.of(new SplitHost("h0", "r0", "d0", 1, 0))));
        TimeUnit.SECONDS.sleep(3);
        limiter.tick();
        TimeUnit.SECONDS.sleep(1);
    }

    /** Decides one request of any team. */
    @Benchmark
    public Admission admit() {
        return limiter.admit(limits.get(ThreadLocalRandom.current().nextInt(teams)), 1);
    }
}
