package org.knapweedhatch.answer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RetryBudgetTest {

    @Property(tries = 100, seed = "55")
    void retriesNeverExceedATenthOfTheFirstDispatches(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget();
        int dispatched = 0;
        int retried = 0;
        for (int i = 0; i < 1000; i++) {
            if (random.nextBoolean()) {
                budget.recordDispatch();
                dispatched++;
            } else if (budget.tryTake()) {
                retried++;
            }
            assertTrue(retried * 10 <= dispatched);
        }
    }
}
