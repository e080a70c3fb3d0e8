package org.knapweedhatch.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConfigurationTest {

    private final Configuration configuration = Configuration.builder()
            .region(new Region("lima"))
            .domain(new FailureDomain("lima-a", "lima"))
            .route(new Route("all", "/", "orders", Access.KEYED))
            .route(new Route("closures", "/closures", "closures", Access.KEYED))
            .build(1);

    @Test
    void routeMatchesLongestPrefixOfWholeSegments() {
        assertEquals(
                "closures", configuration.route("/closures/7").orElseThrow().service());
        assertEquals("orders", configuration.route("/closuresx").orElseThrow().service());
    }

    @Test
    void regionDrainAppliesToItsTargets() {
        Target target = new Target("t1", "orders", "lima-a", Address.parse("127.0.0.1:9000"), 3, 330);
        assertFalse(configuration.isDraining(target));
        Configuration drained = configuration.toBuilder()
                .drain(new Drain(Drain.Kind.REGION, "lima"))
                .build(2);
        assertTrue(drained.isDraining(target));
    }
}
