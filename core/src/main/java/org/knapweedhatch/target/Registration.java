package org.knapweedhatch.target;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Address;

/**
 * What a target says of itself in the platform's store.
 *
 * @param name unique name of the target
 * @param service service that it runs
 * @param domain failure domain it stands in
 * @param address where it listens
 * @param slots requests it runs at once
 * @param leaving whether it is about to stop and takes no new requests
 * @param coldFor how long it stays cold, counted from when it said so
 * @param startedMillis wall-clock time of its start in milliseconds since 1970; tells one life of a name from the next
 * @param revision version of the store's object; later ones are higher
 */
public record Registration(
        String name,
        String service,
        String domain,
        Address address,
        int slots,
        boolean leaving,
        Duration coldRemaining,
        long startedMillis,
        long revision) {

    /** Checks the parts. */
    public Registration {
        Validate.notEmpty(name, "target name");
        Validate.notEmpty(service, "service");
        Validate.notEmpty(domain, "failure domain");
        Validate.notNull(address, "address");
        Validate.positive(slots, "slots");
        Validate.isTrue(!coldRemaining.isNegative(), "coldFor must not be negative: %s", coldRemaining);
    }

    /** Returns whether this and another registration of the same name come from the same life of the target. */
    public boolean sameIncarnation(Registration other) {
        return startedMillis == other.startedMillis && address.equals(other.address) && service.equals(other.service);
    }
}
