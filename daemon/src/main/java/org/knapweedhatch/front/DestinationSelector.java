package org.knapweedhatch.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.world.Destination;
import org.knapweedhatch.world.Route;

/**
 * Spreads the requests of each route over its destinations by smooth weighted round robin, so that even short sequences
 * of requests come close to the weights.
 */
final class DestinationSelector {

    private final Map<String, WeightedRoundRobin> rotations = new HashMap<>();

    /** Smooth weighted round robin over the destinations of one route; the destination with the most credit is next. */
    private static final class WeightedRoundRobin {
        private final List<Destination> destinations;
        private final double[] credits;
        private final double totalWeight;

        WeightedRoundRobin(List<Destination> destinations) {
            this.destinations = destinations;
            credits = new double[destinations.size()];
            totalWeight = destinations.stream().mapToDouble(Destination::weight).sum();
        }

        Destination next() {
            int best = 0;
            for (int i = 0; i < credits.length; i++) {
                credits[i] += destinations.get(i).weight();
                if (credits[i] > credits[best]) {
                    best = i;
                }
            }
            credits[best] -= totalWeight;
            return destinations.get(best);
        }
    }

    /** Returns the destination for the next request of a route; a route whose destinations changed starts afresh. */
    synchronized Destination next(Route route) {
        if (route.destinations().size() == 1) {
            return route.destinations().get(0);
        }
        WeightedRoundRobin shares = rotations.get(route.name());
        if (shares == null || !shares.destinations.equals(route.destinations())) {
            shares = new WeightedRoundRobin(route.destinations());
            rotations.put(route.name(), shares);
        }
        return shares.next();
    }
}
