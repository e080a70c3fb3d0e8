package org.knapweedhatch.world;

import org.knapweedhatch.helper.Validate;

/**
 * The capacity that a host states of itself; whole units, so that all hosts compare the same numbers.
 *
 * @param milliCores thousandths of a processor core; 0 if not stated
 * @param memoryMb memory in megabytes; 0 if not stated
 * @param linkKbps bandwidth of its link in kbit/s; 0 if not stated
 */
public record HostCapacity(int milliCores, int memoryMb, int linkKbps) {

    /** The capacity of a host that states none. */
    public static final HostCapacity UNKNOWN = new HostCapacity(0, 0, 0);

    private static final double THOUSAND = 1_000;

    public HostCapacity {
        Validate.notNegative(milliCores, "milliCores");
        Validate.notNegative(memoryMb, "memoryMb");
        Validate.notNegative(linkKbps, "linkKbps");
    }

    /** Creates a capacity from cores, megabytes and Mbit/s; 0 for what is not stated. */
    public static HostCapacity of(double cores, double memoryMb, double linkMbps) {
        return new HostCapacity(
                (int) Math.round(cores * THOUSAND), (int) Math.round(memoryMb), (int) Math.round(linkMbps * THOUSAND));
    }

    /** Returns whether the host states its cores. */
    public boolean statesCores() {
        return milliCores > 0;
    }
}
