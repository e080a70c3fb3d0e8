package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.List;
import org.knapweedhatch.world.Host;

/**
 * The answer to a look-up: the hosts that a caller should use, in order.
 *
 * @param configuration number of the configuration that it was made from
 * @param region region nearest to the caller
 * @param choices hosts, best first; callers share their requests over those of equal rank by weight
 * @param timeToLive how long the caller may keep it
 */
public record LookUpAnswer(long configuration, String region, List<Choice> choices, Duration timeToLive) {

    public LookUpAnswer {
        choices = List.copyOf(choices);
    }

    /**
     * One host of an answer.
     *
     * @param host the host
     * @param rank 0 for the hosts to use first; higher ranks only where all of the lower ones fail
     * @param weight share of the requests among the hosts of a rank
     */
    public record Choice(Host host, int rank, int weight) {}
}
