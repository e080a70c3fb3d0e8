package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Target;

/** No target holds more requests than slots, and a drained one gets none after a few seconds. */
public final class TargetCheck implements Observer {

    /** Time after which a leaving target gets no new work. */
    static final long DRAINED_WITHIN_NANOS = 3_000_000_000L;

    private final Breaches breaches;
    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Long> drainedSince = new HashMap<>();
    private Configuration configuration = Configuration.empty();

    /** Creates the check. */
    public TargetCheck(Breaches breaches) {
        this.breaches = breaches;
    }

    @Override
    public void accepted(long nanos, Configuration accepted) {
        configuration = accepted;
        for (Target target : accepted.targets().values()) {
            if (accepted.isDraining(target)) {
                drainedSince.putIfAbsent(target.name(), nanos);
            } else {
                drainedSince.remove(target.name());
            }
        }
    }

    @Override
    public void started(long nanos, Request request, String team, String name) {
        int now = held.merge(name, 1, Integer::sum);
        Target target = configuration.targets().get(name);
        if (target == null || now > target.slots()) {
            breaches.add(Promise.TARGET_SLOTS, nanos, "target:" + name, "holds " + now + " requests");
        }
        Long since = drainedSince.get(name);
        if (since != null && nanos - since > DRAINED_WITHIN_NANOS) {
            String detail = String.format(
                    "got request %d %.3f s after its drain was accepted", request.id(), (nanos - since) / 1e9);
            breaches.add(Promise.DRAIN, nanos, "target:" + name, detail);
        }
    }

    @Override
    public void finished(long nanos, Request request, String target) {
        held.merge(target, -1, Integer::sum);
    }
}
