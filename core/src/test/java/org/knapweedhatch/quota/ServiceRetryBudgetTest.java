package org.knapweedhatch.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.DeploymentLimits;

/** Keeps the retries of all hosts together within the terms. */
class ServiceRetryBudgetTest {

    private static final DeploymentLimits TERMS = TeamShareSimulation.TERMS;

    private static int spendAll(ServiceRetryBudget budget) {
        int spent = 0;
        while (budget.trySpend("orders")) {
            spent++;
        }
        return spent;
    }

    @Test
    void allHostsTogetherNeverGetMoreRetriesThanTheTermsAllow() {
        int hosts = 9;
        SplittableRandom random = new SplittableRandom(5);
        List<ServiceRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            budgets.add(ServiceRetryBudget.of(() -> TERMS, () -> new FleetSize(hosts, hosts)));
        }
        // Every request fails and is retried if the budget allows; no time passes, so one window contains them all.
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 5_000; i++) {
            ServiceRetryBudget host = budgets.get(random.nextInt(hosts));
            host.recordRequest("orders");
            requests++;
            if (host.trySpend("orders")) {
                retries++;
            }
            double allowed = requests * TERMS.retryShare() + TERMS.retrySlack();
            assertTrue(retries <= allowed, retries + " retries for " + requests + " requests");
        }
        assertTrue(retries > 0.7 * requests * TERMS.retryShare(), retries + " retries for " + requests);
    }

    @Test
    void hostThatKnowsNoOtherAssumesManyHosts() {
        ServiceRetryBudget budget = ServiceRetryBudget.of(() -> TERMS, FleetSize::unknown);
        assertEquals(2, spendAll(budget));
    }

    @Test
    void savedRetriesShrinkWhenMoreHostsAreKnown() {
        int[] hosts = {1};
        ServiceRetryBudget budget = ServiceRetryBudget.of(() -> TERMS, () -> new FleetSize(hosts[0], 1));
        budget.recordRequest("orders");
        hosts[0] = 9;
        assertEquals(5, spendAll(budget));
    }

    @Test
    void servicesHaveSeparateBudgets() {
        ServiceRetryBudget budget = ServiceRetryBudget.of(() -> TERMS, FleetSize::unknown);
        spendAll(budget);
        assertTrue(budget.trySpend("closures"));
    }
}
