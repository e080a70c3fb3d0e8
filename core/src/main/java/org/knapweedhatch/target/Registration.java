package org.knapweedhatch.target;

import java.time.Duration;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.platform.StoreVersion;
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
 * @param version version of the store's object; increases with each change
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
        StoreVersion version) {

    /** Validates the components. */
    public Registration {
        Validate.notEmpty(name, "target name");
        Validate.notEmpty(service, "service");
        Validate.notEmpty(domain, "failure domain");
        Validate.notNull(address, "address");
        Validate.positive(slots, "slots");
        Validate.isTrue(!coldRemaining.isNegative(), "coldRemaining must not be negative: %s", coldRemaining);
    }

    /** Creates the registration in a store that states no era. */
    public Registration(
            String name,
            String service,
            String domain,
            Address address,
            int slots,
            boolean leaving,
            Duration coldRemaining,
            long startedMillis,
            long revision) {
        this(
                name,
                service,
                domain,
                address,
                slots,
                leaving,
                coldRemaining,
                startedMillis,
                new StoreVersion(0, revision));
    }

    /** Returns the revision of the store's object within its era. */
    public long revision() {
        return version.revision();
    }

    /**
     * Returns whether this registration, read in a listing of a later era than a known one, comes from a copy of the
     * store that is older than the known one: an earlier process, or the same process before it began to leave.
     */
    boolean isFromBefore(Registration known) {
        if (version.era() <= known.version.era()) {
            return false;
        }
        boolean beforeDeparture = known.leaving && !leaving && revision() <= known.revision();
        return startedMillis < known.startedMillis || sameIncarnation(known) && beforeDeparture;
    }

    /** Returns whether this and another registration of the same name belong to the same incarnation of the target. */
    public boolean sameIncarnation(Registration other) {
        return startedMillis == other.startedMillis && address.equals(other.address) && service.equals(other.service);
    }
}
