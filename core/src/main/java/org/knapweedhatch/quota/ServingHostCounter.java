package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;

/**
 * Counts the hosts that may be serving requests: live ones, and ones that became silent recently and may only be
 * partitioned from this host.
 *
 * <p>Safe for use by many threads.
 */
public final class ServingHostCounter {

    /**
     * A host that has been silent for longer counts as gone. If it is only partitioned, callers have stopped using it
     * by then.
     */
    private static final Duration SILENT_HOST_TTL = Duration.ofSeconds(60);

    private final TimeSource time;
    private final Map<String, Long> lastAliveNanos = new HashMap<>();

    private ServingHostCounter(TimeSource time) {
        this.time = time;
    }

    /** Creates a counter that knows no hosts yet. */
    public static ServingHostCounter of(TimeSource time) {
        return new ServingHostCounter(Validate.notNull(time, "time"));
    }

    /** Updates the counter with the current membership. */
    public synchronized void update(MembershipView view) {
        long now = time.nanos();
        view.members().values().stream()
                .filter(member -> member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING)
                .forEach(member -> lastAliveNanos.put(member.name(), now));
        lastAliveNanos.values().removeIf(alive -> now - alive > SILENT_HOST_TTL.toNanos());
    }

    /** Returns the number of hosts that may be serving, including this one. */
    public synchronized int count() {
        return lastAliveNanos.size();
    }
}
