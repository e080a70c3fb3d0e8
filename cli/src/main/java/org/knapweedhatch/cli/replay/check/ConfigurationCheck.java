package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.knapweedhatch.world.Configuration;

/** Configuration numbers only go up at each process, and an accepted one reaches every host that can be reached. */
public final class ConfigurationCheck implements Observer {

    /** Time within which an accepted configuration is in force at every host that can be reached. */
    static final long IN_FORCE_WITHIN_NANOS = 10_000_000_000L;

    private final Breaches breaches;
    private final Map<String, Long> inForce = new TreeMap<>();
    private final Map<String, Long> processes = new HashMap<>();
    private final Map<String, Long> reachableSince = new TreeMap<>();
    private final TreeMap<Long, Long> acceptedAt = new TreeMap<>();

    /** Creates the check. */
    public ConfigurationCheck(Breaches breaches) {
        this.breaches = breaches;
    }

    @Override
    public void accepted(long nanos, Configuration configuration) {
        if (!acceptedAt.isEmpty() && configuration.number() <= acceptedAt.lastKey()) {
            breaches.add(
                    Promise.CONFIGURATION_RISES, nanos, "platform", "accepted " + configuration.number() + " late");
        }
        acceptedAt.put(configuration.number(), nanos);
    }

    @Override
    public void applied(long nanos, String host, long process, long number) {
        Long before = inForce.get(host);
        boolean sameProcess = Long.valueOf(process).equals(processes.put(host, process));
        if (before != null && sameProcess && number < before) {
            String detail = "went from " + before + " to " + number;
            breaches.add(Promise.CONFIGURATION_RISES, nanos, "host:" + host, detail);
        }
        if (!acceptedAt.containsKey(number)) {
            breaches.add(Promise.CONFIGURATION_RISES, nanos, "host:" + host, "applied " + number + ", never accepted");
        }
        checkInTime(nanos, host);
        inForce.put(host, number);
    }

    @Override
    public void reachable(long nanos, String host, boolean reachable) {
        checkInTime(nanos, host);
        if (reachable) {
            reachableSince.put(host, nanos);
        } else {
            reachableSince.remove(host);
        }
    }

    @Override
    public void ended(long nanos) {
        reachableSince.keySet().forEach(host -> checkInTime(nanos, host));
    }

    private void checkInTime(long nanos, String host) {
        Long since = reachableSince.get(host);
        if (since == null) {
            return;
        }
        long number = inForce.getOrDefault(host, 0L);
        Map.Entry<Long, Long> missed = acceptedAt.higherEntry(number);
        if (missed != null && nanos - Math.max(since, missed.getValue()) > IN_FORCE_WITHIN_NANOS) {
            String detail = "had " + number + " in force long after " + missed.getKey() + " was accepted";
            breaches.add(Promise.CONFIGURATION_IN_FORCE, nanos, "host:" + host, detail);
        }
    }
}
