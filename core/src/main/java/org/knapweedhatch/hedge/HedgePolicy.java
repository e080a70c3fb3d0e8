package org.knapweedhatch.hedge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;

/**
 * Decides when a request that may be repeated gets a second attempt before the first has answered.
 *
 * <pre>{@code
 * policy.recordRequest("orders");
 * Optional<Duration> delay = policy.delay("orders");
 * if (policy.deniedBy(candidate).isEmpty()) {
 *     policy.recordSent("orders");
 * }
 * }</pre>
 *
 * <p>Load: a few of a hundred responses that take several times as long as the others, while targets have free slots.
 * Each service has a token bucket that its requests fill by the operator's share, so second attempts are at most that
 * share of them, and a few more at once. Not thread-safe.
 */
public final class HedgePolicy {

    /** Responses of a window that must be known before the percentile means anything. */
    private static final int MIN_RESPONSES = 20;

    /** Time after which older response times are left out; the last two windows count. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(5).toNanos();

    /** Second attempts that may be saved up, since slow responses come in groups. */
    private static final double MAX_SAVED = 5;

    /** Greatest response time that is told apart, in milliseconds; longer than any deadline. */
    private static final long MAX_MILLIS = 60_000;

    private static final int PRECISION_DIGITS = 2;

    private final HedgeSettings settings;
    private final TimeSource time;
    private final Map<String, ServiceState> services = new HashMap<>();

    private HedgePolicy(HedgeSettings settings, TimeSource time) {
        this.settings = settings;
        this.time = time;
    }

    /** Creates a policy that knows no responses yet. */
    public static HedgePolicy of(HedgeSettings settings, TimeSource time) {
        return new HedgePolicy(Validate.notNull(settings, "settings"), Validate.notNull(time, "time"));
    }

    /** Returns whether there are second attempts at all. */
    public boolean enabled() {
        return settings.enabled();
    }

    /** Counts a request that may be repeated, which adds to the share of its service. */
    public void recordRequest(String service) {
        ServiceState state = state(service);
        state.tokens = Math.min(MAX_SAVED, state.tokens + settings.sharePercent() / 100);
    }

    /**
     * Records the time from the first attempt of a request that may be repeated to its response. The time of the second
     * attempt alone would lower the percentile with each one that is sent, and use up the share on usual responses.
     */
    public void recordResponse(String service, long nanos) {
        state(service).record(nanos / 1_000_000, time.nanos());
    }

    /** Returns how long after the first attempt the second one is due; empty while too few responses are known. */
    public Optional<Duration> delay(String service) {
        return state(service).percentile(settings.percentile(), time.nanos()).map(Duration::ofMillis);
    }

    /** Returns what forbids a second attempt by what is known before a target is chosen; empty if nothing does. */
    public Optional<HedgeBound> deniedBy(HedgeCandidate request) {
        if (!request.mayRepeat()) {
            return Optional.of(HedgeBound.NOT_REPEATABLE);
        }
        if (request.attempts() >= request.maxAttempts()) {
            return Optional.of(HedgeBound.MAX_ATTEMPTS);
        }
        if (request.stopping()) {
            return Optional.of(HedgeBound.STOPPING);
        }
        if (request.waiting() > 0) {
            return Optional.of(HedgeBound.CALLERS_WAIT);
        }
        return state(request.service()).tokens < 1 ? Optional.of(HedgeBound.SHARE) : Optional.empty();
    }

    /** Counts a second attempt that is sent. */
    public void recordSent(String service) {
        state(service).tokens--;
    }

    private ServiceState state(String service) {
        return services.computeIfAbsent(service, name -> new ServiceState(time.nanos()));
    }

    /** The share that is left to a service, and the response times of its last two windows. */
    private static final class ServiceState {
        private double tokens;
        private Histogram current = new Histogram(MAX_MILLIS, PRECISION_DIGITS);
        private Histogram previous = new Histogram(MAX_MILLIS, PRECISION_DIGITS);
        private long windowStartNanos;

        ServiceState(long nowNanos) {
            windowStartNanos = nowNanos;
        }

        void record(long millis, long nowNanos) {
            rotate(nowNanos);
            current.recordValue(Math.max(0, Math.min(MAX_MILLIS, millis)));
        }

        /** Returns the percentile of the fuller of the two windows, in milliseconds. */
        Optional<Long> percentile(double percentile, long nowNanos) {
            rotate(nowNanos);
            Histogram fuller = previous.getTotalCount() > current.getTotalCount() ? previous : current;
            return fuller.getTotalCount() < MIN_RESPONSES
                    ? Optional.empty()
                    : Optional.of(fuller.getValueAtPercentile(percentile));
        }

        private void rotate(long nowNanos) {
            if (nowNanos - windowStartNanos < WINDOW_NANOS) {
                return;
            }
            Histogram oldest = previous;
            previous = current;
            current = oldest;
            current.reset();
            if (nowNanos - windowStartNanos >= 2 * WINDOW_NANOS) {
                previous.reset();
            }
            windowStartNanos = nowNanos;
        }
    }
}
