package org.knapweedhatch.limit;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.RateLimit;

/** A bucket that is used by several threads behaves as if they took turns. */
public class BucketLincheckTest {

    private static final long LEASE = 1_000_000_000L;

    private final Bucket bucket = new Bucket(new RateLimit(1, 8), 0, () -> 1);

    /** Creates a bucket of four own tokens and four borrowed ones. */
    public BucketLincheckTest() {
        bucket.own(0.5, LEASE);
        bucket.borrow(new Loan("b", 1, 0.5, LEASE), 0, 4);
    }

    /** Admits. */
    @Operation
    public boolean admit() {
        return bucket.admit(1, false).isAdmitted();
    }

    /** Lends a quarter of the limit. */
    @Operation
    public double lend() {
        return bucket.lend("c", new LoanRequest(1, 1, LimitId.team("t"), 0, 0.25), LEASE, 2)
                .share();
    }

    @Test
    void admissionsAndLoansAreLinearizable() {
        new ModelCheckingOptions()
                .iterations(5)
                .invocationsPerIteration(100)
                .threads(2)
                .actorsPerThread(2)
                .check(BucketLincheckTest.class);
    }
}
