package org.knapweedhatch.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.DeploymentLimits;

class RetryAllowanceTest {

    private static final DeploymentLimits TERMS = ShareFleet.TERMS;

    private static int spendAll(RetryAllowance allowance) {
        int spent = 0;
        while (allowance.spend("orders")) {
            spent++;
        }
        return spent;
    }

    @Test
    void allHostsTogetherNeverGetMoreRetriesThanTheTermsAllow() {
        int hosts = 9;
        SplittableRandom random = new SplittableRandom(5);
        List<RetryAllowance> fleet = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            fleet.add(RetryAllowance.of(() -> TERMS, () -> new FleetSize(hosts, hosts)));
        }
        // Every request fails and is retried wherever that is allowed, in any window of ten seconds.
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 5_000; i++) {
            RetryAllowance host = fleet.get(random.nextInt(hosts));
            host.earn("orders");
            requests++;
            if (host.spend("orders")) {
                retries++;
            }
            double allowed = requests * TERMS.retryShare() + TERMS.retrySlack();
            assertTrue(retries <= allowed, retries + " retries for " + requests + " requests");
        }
        assertTrue(retries > 0.7 * requests * TERMS.retryShare(), retries + " retries for " + requests);
    }

    @Test
    void hostThatKnowsNoOtherAssumesManyHosts() {
        RetryAllowance alone = RetryAllowance.of(() -> TERMS, FleetSize::unknown);
        assertEquals(2, spendAll(alone));
    }

    @Test
    void savedRetriesShrinkWhenMoreHostsAreKnown() {
        int[] hosts = {1};
        RetryAllowance allowance = RetryAllowance.of(() -> TERMS, () -> new FleetSize(hosts[0], 1));
        allowance.earn("orders");
        hosts[0] = 9;
        assertEquals(5, spendAll(allowance));
    }

    @Test
    void servicesHaveAllowancesOfTheirOwn() {
        RetryAllowance allowance = RetryAllowance.of(() -> TERMS, FleetSize::unknown);
        spendAll(allowance);
        assertTrue(allowance.spend("closures"));
    }
}
