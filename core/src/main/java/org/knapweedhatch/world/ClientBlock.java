package org.knapweedhatch.world;

import java.util.regex.Pattern;
import org.knapweedhatch.helper.Validate;

/**
 * A block of client addresses and the region nearest to it.
 *
 * @param cidr block in CIDR form, such as {@code 10.1.0.0/16}
 * @param region nearest region
 */
public record ClientBlock(String cidr, String region) {

    private static final Pattern CIDR = Pattern.compile("[0-9a-fA-F.:]+/\\d{1,3}");

    public ClientBlock {
        Validate.isTrue(CIDR.matcher(cidr).matches(), "not a CIDR block: %s", cidr);
        Validate.notEmpty(region, "region");
    }
}
