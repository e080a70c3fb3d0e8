package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.RateLimit;

/** Counts the admissions of every team over all hosts at their exact times. */
public final class TeamWindowCheck implements Observer {

    /** Time after a release in which the larger of the old and the new contract counts. */
    static final long SETTLE_NANOS = 10_000_000_000L;

    private final Breaches breaches;
    private final Map<String, Window> windows = new HashMap<>();
    private final Map<String, RateLimit> next = new HashMap<>();
    private final Map<String, Long> nextFrom = new HashMap<>();

    /** Creates the check. */
    public TeamWindowCheck(Breaches breaches) {
        this.breaches = breaches;
    }

    @Override
    public void accepted(long nanos, Configuration configuration) {
        configuration.teams().values().forEach(team -> {
            RateLimit contract = team.rateLimit();
            Window window = windows.computeIfAbsent(team.name(), name -> new Window(contract.rate(), contract.burst()));
            window.change(nanos, Math.max(window.rate(), contract.rate()), Math.max(window.burst(), contract.burst()));
            next.put(team.name(), contract);
            nextFrom.put(team.name(), nanos + SETTLE_NANOS);
        });
    }

    @Override
    public void admitted(long nanos, String host, Request request, String team) {
        Window window = windows.get(team);
        if (window == null) {
            breaches.add(Promise.TEAM_WINDOW, nanos, "team:" + team, "admitted without a contract");
            return;
        }
        settle(nanos, team, window);
        double over = window.add(nanos, 1);
        if (over > 0) {
            String detail = String.format("request %d at %s is %.3f over the burst", request.id(), host, over);
            breaches.add(Promise.TEAM_WINDOW, nanos, "team:" + team, detail);
        }
    }

    private void settle(long nanos, String team, Window window) {
        RateLimit contract = next.get(team);
        if (contract != null && nanos >= nextFrom.get(team)) {
            window.change(nextFrom.get(team), contract.rate(), contract.burst());
            next.remove(team);
        }
    }
}
