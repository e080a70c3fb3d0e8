package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.world.Configuration;

/** In every window of ten seconds, no more of a service's traffic of a region moves than the declared share. */
public final class ShiftCheck implements Observer {

    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final double ROUNDING = 1e-6;

    private record Place(String service, String from) {}

    private record Way(String service, String from, String to) {}

    private final Breaches breaches;
    private final Map<Place, Integer> arose = new HashMap<>();
    private final Map<Way, Integer> moved = new HashMap<>();
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
        arose.merge(new Place(request.arrival().service(), request.arrival().region()), 1, Integer::sum);
    }

    @Override
    public void moved(long nanos, Request request, String from, String to) {
        close(nanos);
        moved.merge(new Way(request.arrival().service(), from, to), 1, Integer::sum);
    }

    @Override
    public void ended(long nanos) {
        close(nanos + WINDOW_NANOS);
    }

    private void close(long nanos) {
        if (nanos / WINDOW_NANOS == window) {
            return;
        }
        moved.forEach(this::check);
        arose.clear();
        moved.clear();
        window = nanos / WINDOW_NANOS;
    }

    private void check(Way way, int count) {
        double cap = configuration.shiftCap(way.service(), way.from(), way.to());
        int all = arose.getOrDefault(new Place(way.service(), way.from()), 0);
        if (count > cap * all + ROUNDING) {
            String subject = "shift:" + way.service() + ":" + way.from() + "->" + way.to();
            breaches.add(Promise.SHIFT_CAP, window * WINDOW_NANOS, subject, count + " moved of " + all + " arisen");
        }
    }
}
