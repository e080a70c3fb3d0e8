package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.world.Configuration;

/**
 * No more of a service's traffic of a region moves than the declared share: in every window of ten seconds, measured
 * against what arose since one request timeout before it, and exactly over the whole replay.
 */
public final class ShiftCheck implements Observer {

    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final long TIMEOUT_NANOS = 5_000_000_000L;
    private static final double ROUNDING = 1e-6;

    private record Place(String service, String from) {}

    private record Way(String service, String from, String to) {}

    private final Breaches breaches;
    private final Map<Place, Integer> arose = new HashMap<>();
    private final Map<Place, Integer> aroseLate = new HashMap<>();
    private final Map<Way, Integer> moved = new HashMap<>();
    private final Map<Place, Integer> aroseInAll = new HashMap<>();
    private final Map<Way, Integer> movedInAll = new HashMap<>();
    private Configuration configuration = Configuration.empty();
    private long window;

    /** Creates the check. */
    public ShiftCheck(Breaches breaches) {
        this.breaches = breaches;
    }

    @Override
    public void accepted(long nanos, Configuration accepted) {
        configuration = accepted;
    }

    @Override
    public void admitted(long nanos, String host, Request request, String team) {
        close(nanos);
        Place place = new Place(request.arrival().service(), request.arrival().region());
        arose.merge(place, 1, Integer::sum);
        aroseInAll.merge(place, 1, Integer::sum);
        if (nanos % WINDOW_NANOS >= WINDOW_NANOS - TIMEOUT_NANOS) {
            aroseLate.merge(place, 1, Integer::sum);
        }
    }

    @Override
    public void moved(long nanos, Request request, String from, String to) {
        close(nanos);
        Way way = new Way(request.arrival().service(), from, to);
        moved.merge(way, 1, Integer::sum);
        movedInAll.merge(way, 1, Integer::sum);
    }

    @Override
    public void ended(long nanos) {
        close(nanos + WINDOW_NANOS);
        movedInAll.forEach((way, count) -> check(way, count, aroseInAll, nanos));
    }

    private void close(long nanos) {
        if (nanos / WINDOW_NANOS == window) {
            return;
        }
        moved.forEach((way, count) -> check(way, count, arose, window * WINDOW_NANOS));
        moved.clear();
        arose.clear();
        arose.putAll(aroseLate);
        aroseLate.clear();
        window = nanos / WINDOW_NANOS;
    }

    private void check(Way way, int count, Map<Place, Integer> all, long nanos) {
        double cap = configuration.shiftCap(way.service(), way.from(), way.to());
        int from = all.getOrDefault(new Place(way.service(), way.from()), 0);
        if (count > cap * from + ROUNDING) {
            String subject = "shift:" + way.service() + ":" + way.from() + "->" + way.to();
            breaches.add(Promise.SHIFT_CAP, nanos, subject, count + " moved of " + from + " arisen");
        }
    }
}
