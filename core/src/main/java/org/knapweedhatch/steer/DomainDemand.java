package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;

/**
 * The demand of each failure domain: the greatest of the last seconds, so that it grows at once and shrinks late.
 *
 * <p>The demand of a domain is known while at least half of its serving hosts report. Thread-safe.
 */
public final class DomainDemand {

    /** How long demand counts after it fell; some times the life of a look-up, so that hosts are not named in turns. */
    public static final Duration SHRINK_DELAY = Duration.ofSeconds(6);

    private final TimeSource time;
    private final Deque<Sample> samples = new ArrayDeque<>();

    /** Requests per second by domain at one time. */
    private record Sample(long nanos, Map<String, Double> byDomain) {}

    private DomainDemand(TimeSource time) {
        this.time = time;
    }

    /** Creates a record without any demand. */
    public static DomainDemand of(TimeSource time) {
        return new DomainDemand(Validate.notNull(time, "time"));
    }

    /**
     * Adds the requests per second of the hosts that report, and returns the demand of the domains where it is known.
     */
    public synchronized Map<String, Double> update(MembershipView view, Map<String, Double> demandByHost) {
        samples.addLast(new Sample(time.nanos(), byDomain(view, demandByHost)));
        samples.removeIf(sample -> time.since(sample.nanos()).compareTo(SHRINK_DELAY) > 0);
        Map<String, Double> greatest = new HashMap<>();
        samples.forEach(sample -> sample.byDomain().forEach((domain, rate) -> greatest.merge(domain, rate, Math::max)));
        return greatest;
    }

    private static Map<String, Double> byDomain(MembershipView view, Map<String, Double> demandByHost) {
        Map<String, Double> demand = new HashMap<>();
        Map<String, Integer> reporting = new HashMap<>();
        Map<String, Integer> serving = new HashMap<>();
        for (Member member : view.members().values()) {
            String domain = member.host().domain();
            Double rate = demandByHost.get(member.name());
            if (rate != null) {
                demand.merge(domain, rate, Double::sum);
            }
            if (member.takesWork()) {
                serving.merge(domain, 1, Integer::sum);
                reporting.merge(domain, rate == null ? 0 : 1, Integer::sum);
            }
        }
        demand.keySet().removeIf(domain -> reporting.getOrDefault(domain, 0) * 2 < serving.getOrDefault(domain, 0));
        return demand;
    }
}
