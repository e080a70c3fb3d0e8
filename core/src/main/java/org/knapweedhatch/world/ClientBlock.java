package org.knapweedhatch.world;

import java.util.regex.Pattern;
import org.knapweedhatch.helper.Validate;

/**
 * Maps a CIDR block of client addresses to the region nearest to them.
 *
 * @param cidr block in CIDR notation, such as {@code 10.1.0.0/16}
 * @param region name of the nearest region
 */
public record ClientBlock(String cidr, String region) {

    private static final Pattern CIDR = Pattern.compile("[0-9a-fA-F.:]+/\\d{1,3}");

    public ClientBlock {
        Validate.isTrue(CIDR.matcher(cidr).matches(), "not a CIDR block: %s", cidr);
        Validate.notEmpty(region, "region");
    }
}
