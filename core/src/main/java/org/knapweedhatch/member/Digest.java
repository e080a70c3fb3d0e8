package org.knapweedhatch.member;

import java.util.List;
import org.knapweedhatch.helper.Validate;

/**
 * The hosts of one region in short: a hash of the whole table, and the rows that changed lately.
 *
 * <p>A receiver whose own copy of the sender's table has another hash asks for the whole table.
 *
 * @param region region that the digest is about
 * @param hash sum of the hashes of all rows
 * @param ageMillis time since the region itself was heard, in milliseconds
 * @param lowestConfiguration lowest configuration number in force at its living hosts
 * @param highestConfiguration highest configuration number in force there
 * @param load mean load of its living hosts
 * @param changed rows that changed lately
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
