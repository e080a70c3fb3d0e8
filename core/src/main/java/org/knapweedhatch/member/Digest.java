package org.knapweedhatch.member;

import java.util.List;
import org.knapweedhatch.helper.Validate;

/**
 * A summary of the member table of one region: a hash of the whole table and the recently changed rows.
 *
 * <p>A receiver whose copy of the sender's table has a different hash requests the whole table.
 *
 * @param region name of the region
 * @param hash sum of the hashes of all rows of the table
 * @param ageMillis time in milliseconds since a host of the region itself sent this state
 * @param lowestConfiguration lowest configuration number in force on the region's living hosts
 * @param highestConfiguration highest configuration number in force on them
 * @param load mean load of the region's living hosts
 * @param changed rows that changed recently; all rows if the digest carries a whole table
 */
public record Digest(
        String region,
        long hash,
        long ageMillis,
        long lowestConfiguration,
        long highestConfiguration,
        Load load,
        List<MemberRow> changed) {
    public Digest {
        Validate.notEmpty(region, "region");
        Validate.notNegative(ageMillis, "ageMillis");
        Validate.notNull(load, "load");
        changed = List.copyOf(changed);
    }
}
