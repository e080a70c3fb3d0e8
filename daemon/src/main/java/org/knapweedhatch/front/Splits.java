package org.knapweedhatch.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.world.Destination;
import org.knapweedhatch.world.Route;

/**
 * Shares the requests of each route among its destinations by smooth weighted round robin, so that every short run of
 * requests comes close to the weights.
 */
final class Splits {

    private final Map<String, Shares> byRoute = new HashMap<>();

    /** What each destination of a route is owed. */
    private static final class Shares {
        private final List<Destination> destinations;
        private final double[] owed;
        private final double total;

        Shares(List<Destination> destinations) {
            this.destinations = destinations;
            owed = new double[destinations.size()];
            total = destinations.stream().mapToDouble(Destination::weight).sum();
        }

        Destination next() {
            int best = 0;
            for (int i = 0; i < owed.length; i++) {
                owed[i] += destinations.get(i).weight();
                if (owed[i] > owed[best]) {
                    best = i;
                }
            }
            owed[best] -= total;
            return destinations.get(best);
        }
    }

    /** Returns the destination of the next request of a route. */
    synchronized Destination next(Route route) {
        if (route.destinations().size() == 1) {
            return route.destinations().get(0);
        }
        Shares shares = byRoute.get(route.name());
        if (shares == null || !shares.destinations.equals(route.destinations())) {
            shares = new Shares(route.destinations());
            byRoute.put(route.name(), shares);
        }
        return shares.next();
    }
}
