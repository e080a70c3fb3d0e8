package org.knapweedhatch.steer;

/** Whether a part that is made for hosts of unequal capacity takes effect. */
public enum BalancingMode {
    /** Where the stated capacities differ. */
    AUTO,
    /** Always. */
    ON,
    /** Never. */
    OFF;

    /** Returns whether the part takes effect in a fleet whose hosts are unequal or not. */
    public boolean applies(boolean unequal) {
        return this == ON || this == AUTO && unequal;
    }
}
