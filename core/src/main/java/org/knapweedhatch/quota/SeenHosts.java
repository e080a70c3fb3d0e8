package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;

/**
 * Counts the hosts that may be serving: those that live, and those that fell silent lately and may be cut off.
 *
 * <p>Safe for use by many threads.
 */
public final class SeenHosts {

    /** A host that has been silent for longer is taken to be gone; cuts that last longer have callers leave it. */
    private static final Duration MAY_SERVE = Duration.ofSeconds(60);

    private final TimeSource time;
    private final Map<String, Long> aliveNanos = new HashMap<>();

    private SeenHosts(TimeSource time) {
        this.time = time;
    }

    /** Creates a count of nobody. */
    public static SeenHosts of(TimeSource time) {
        return new SeenHosts(Validate.notNull(time, "time"));
    }

    /** Takes in the members as they are seen now. */
    public synchronized void seen(MembershipView view) {
        long now = time.nanos();
        view.members().values().stream()
                .filter(member -> member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING)
                .forEach(member -> aliveNanos.put(member.name(), now));
        aliveNanos.values().removeIf(alive -> now - alive > MAY_SERVE.toNanos());
    }

    /** Returns the number of hosts, this one included. */
    public synchronized int count() {
        return aliveNanos.size();
    }
}
