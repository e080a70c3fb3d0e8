package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;

/** Each request runs for the team of its key, no target sees the key, and withdrawn keys stop within seconds. */
public final class KeyCheck implements Observer {

    /** Time within which a withdrawn key stops working. */
    static final long WITHDRAWN_WITHIN_NANOS = 3_000_000_000L;

    private final Breaches breaches;
    private final Map<String, String> teams = new HashMap<>();
    private final Map<String, Long> withdrawn = new HashMap<>();

    /** Creates the check. */
    public KeyCheck(Breaches breaches) {
        this.breaches = breaches;
    }

    @Override
    public void accepted(long nanos, Configuration configuration) {
        for (ApiKey key : configuration.keys().values()) {
            teams.put(key.name(), key.team());
            withdrawn.remove(key.name());
        }
        for (String name : teams.keySet()) {
            if (!configuration.keys().containsKey(name)) {
                withdrawn.putIfAbsent(name, nanos);
            }
        }
    }

    @Override
    public void admitted(long nanos, String host, Request request, String team) {
        String key = request.arrival().key();
        if (!team.equals(teams.get(key))) {
            String detail = "request " + request.id() + " with key " + key + " admitted for " + team;
            breaches.add(Promise.KEY, nanos, "team:" + team, detail);
        }
        Long since = withdrawn.get(key);
        if (since != null && nanos - since > WITHDRAWN_WITHIN_NANOS) {
            String detail = String.format(
                    "request %d admitted at %s %.3f s after it was withdrawn",
                    request.id(), host, (nanos - since) / 1e9);
            breaches.add(Promise.KEY, nanos, "key:" + key, detail);
        }
    }

    @Override
    public void started(long nanos, Request request, String team, String target) {
        if (!team.equals(teams.get(request.arrival().key()))) {
            breaches.add(Promise.KEY, nanos, "target:" + target, "ran request " + request.id() + " for " + team);
        }
    }
}
