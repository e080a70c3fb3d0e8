package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * What a team may use over all hosts together: in any window of {@code w} seconds at most {@code rate * w + burst}.
 *
 * @param rate requests per second
 * @param burst requests at once
 */
public record Contract(double rate, long burst) {
    public Contract {
        Validate.isTrue(Double.isFinite(rate) && rate > 0, "rate must be above zero: %s", rate);
        Validate.positive(burst, "burst");
    }
}
