package org.knapweedhatch.steer;

import java.time.Duration;

/** One-way network latencies between regions, as measured by the messages between hosts. */
@FunctionalInterface
public interface RegionLatencies {

    /** Returns the one-way latency from one region to another. */
    Duration oneWay(String fromRegion, String toRegion);

    /** Returns latencies that are equal between any two regions, and zero within a region. */
    static RegionLatencies uniform(Duration oneWay) {
        return (from, to) -> from.equals(to) ? Duration.ZERO : oneWay;
    }
}
