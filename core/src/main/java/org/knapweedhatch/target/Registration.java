package org.knapweedhatch.target;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.world.Address;

/**
 * The registration that a target writes to the platform's store.
 *
 * @param name unique name of the target
 * @param service service that it provides
 * @param domain failure domain it is in
 * @param address address on which it accepts requests
 * @param slots number of requests that it handles at once
 * @param leaving whether it is shutting down and accepts no new requests
 * @param coldRemaining how long it stays cold, counted from when it wrote the registration
 * @param startedMillis wall-clock time of its start in milliseconds since 1970; distinguishes incarnations
 * @param revision revision of the store's object; increases with each change
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

    /** Validates the components. */
    public Registration {
        Validate.notEmpty(name, "target name");
        Validate.notEmpty(service, "service");
        Validate.notEmpty(domain, "failure domain");
        Validate.notNull(address, "address");
        Validate.positive(slots, "slots");
        Validate.isTrue(!coldRemaining.isNegative(), "coldRemaining must not be negative: %s", coldRemaining);
    }

    /** Returns whether this and another registration of the same name belong to the same incarnation of the target. */
    public boolean sameIncarnation(Registration other) {
        return startedMillis == other.startedMillis && address.equals(other.address) && service.equals(other.service);
    }
}
