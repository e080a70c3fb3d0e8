package org.knapweedhatch.steer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.world.Host;

/**
 * Orders hosts by their distance from one of them: those of its failure domain, those of its region, then the others.
 * Each host orders equally distant ones differently, so that not all turn to the same one.
 */
public final class NearestHosts {

    private static final int SAME_DOMAIN = 0;
    private static final int SAME_REGION = 1;
    private static final int ELSEWHERE = 2;

    private NearestHosts() {}

    /** Returns some hosts by name, the nearest to the host that owns the view first. */
    public static List<String> order(MembershipView view, Collection<String> hosts) {
        return Rendezvous.order(view.self(), hosts, Function.identity()).stream()
                .sorted(Comparator.comparingInt(host -> distance(view, host)))
                .toList();
    }

    private static int distance(MembershipView view, String name) {
        Host self = view.member(view.self()).map(member -> member.host()).orElse(null);
        Host other = view.member(name).map(member -> member.host()).orElse(null);
        if (self == null || other == null || !self.region().equals(other.region())) {
            return ELSEWHERE;
        }
        return self.domain().equals(other.domain()) ? SAME_DOMAIN : SAME_REGION;
    }
}
