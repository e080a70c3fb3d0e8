package org.knapweedhatch.steer;

import java.time.Duration;

/** One-way network times between regions, as measured by the hosts' own messages. */
@FunctionalInterface
public interface RegionLatencies {

    /** Returns the one-way time from one region to another. */
    Duration oneWay(String fromRegion, String toRegion);

    /** Returns distances that are the same between any two regions. */
    static RegionLatencies uniform(Duration oneWay) {
        return (from, to) -> from.equals(to) ? Duration.ZERO : oneWay;
    }
}
