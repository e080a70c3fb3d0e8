package org.knapweedhatch.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.Terms;

class ServiceRetryBudgetTest {

    private static final Terms TERMS = TeamShareSimulation.TERMS;

    private static int spendAll(ServiceRetryBudget allowance) {
        int spent = 0;
        while (allowance.trySpend("orders")) {
            spent++;
        }
        return spent;
    }

    @Test
    void allHostsTogetherNeverGetMoreRetriesThanTheTermsAllow() {
        int hosts = 9;
        SplittableRandom random = new SplittableRandom(5);
        List<ServiceRetryBudget> fleet = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            fleet.add(ServiceRetryBudget.of(() -> TERMS, () -> new FleetSize(hosts, hosts)));
        }
        // Every request fails and is retried wherever that is allowed, in any window of ten seconds.
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 5_000; i++) {
            ServiceRetryBudget host = fleet.get(random.nextInt(hosts));
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
        ServiceRetryBudget alone = ServiceRetryBudget.of(() -> TERMS, FleetSize::unknown);
        assertEquals(2, spendAll(alone));
    }

    @Test
    void savedRetriesShrinkWhenMoreHostsAreKnown() {
        int[] hosts = {1};
        ServiceRetryBudget allowance = ServiceRetryBudget.of(() -> TERMS, () -> new FleetSize(hosts[0], 1));
        allowance.recordRequest("orders");
        hosts[0] = 9;
        assertEquals(5, spendAll(allowance));
    }

    @Test
    void servicesHaveSeparateBudgets() {
        ServiceRetryBudget allowance = ServiceRetryBudget.of(() -> TERMS, FleetSize::unknown);
        spendAll(allowance);
        assertTrue(allowance.trySpend("closures"));
    }
}
