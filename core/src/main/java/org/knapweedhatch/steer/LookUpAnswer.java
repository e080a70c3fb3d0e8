package org.knapweedhatch.steer;

import java.time.Duration;
import java.util.List;
import org.knapweedhatch.world.Host;

/**
 * The answer to a look-up: the hosts that a caller should use, in order of preference.
 *
 * @param configuration number of the configuration on which it is based
 * @param region region nearest to the caller
 * @param choices hosts, best first; callers distribute requests over hosts of equal rank by weight
 * @param timeToLive how long the caller may cache it
 */
public record LookUpAnswer(long configuration, String region, List<Choice> choices, Duration timeToLive) {

    public LookUpAnswer {
        choices = List.copyOf(choices);
    }

    /**
     * One host of an answer.
     *
     * @param host the host
     * @param rank 0 for the hosts to use first; a higher rank is used only if all hosts of lower ranks fail
     * @param weight relative share of requests among the hosts of equal rank
     */
    public record Choice(Host host, int rank, int weight) {}
}
