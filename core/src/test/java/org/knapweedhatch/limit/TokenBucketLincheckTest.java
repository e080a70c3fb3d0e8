package org.knapweedhatch.limit;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.RateLimit;

/** Checks that a token bucket is linearizable: concurrent calls have the effect of some sequential order. */
public class TokenBucketLincheckTest {

    private static final long LEASE = 1_000_000_000L;

    private final TokenBucket bucket = new TokenBucket(new RateLimit(1, 8), 0, () -> 1);

    /** Sets up the bucket with an owned share of one half and a borrowed one of the other half with four tokens. */
    public TokenBucketLincheckTest() {
        bucket.updateOwnedShare(0.5, LEASE);
        bucket.addBorrowedLoan(new Loan("b", 1, 0.5, LEASE), 0, 4);
    }

    /** Admits one request. */
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
                .check(TokenBucketLincheckTest.class);
    }
}
