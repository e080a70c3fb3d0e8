package org.knapweedhatch.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.junit.jupiter.api.Test;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Key;

class KeyRingTest {

    private final Configuration one = Configuration.builder()
            .key(new Key("k1", "crew-1", Digests.sha256("secret-key-1")))
            .build(1);

    @Test
    void keyInForceNamesItsTeam() {
        KeyCheck check = KeyRing.empty().configure(one).check("secret-key-1");
        assertEquals(
                "crew-1", assertInstanceOf(KeyCheck.Accepted.class, check).key().team());
    }

    @Test
    void withdrawnKeyIsToldFromAnUnknownOne() {
        KeyRing ring =
                KeyRing.empty().configure(one).configure(Configuration.builder().build(2));
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.WITHDRAWN), ring.check("secret-key-1"));
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.UNKNOWN), ring.check("secret-key-2"));
    }

    @Test
    void missingAndMalformedKeysAreTold() {
        KeyRing ring = KeyRing.empty().configure(one);
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.MISSING), ring.check(null));
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.MALFORMED), ring.check("no spaces allowed"));
    }

    @Test
    void keyGivenAgainWorksAgain() {
        KeyRing ring = KeyRing.empty()
                .configure(one)
                .configure(Configuration.builder().build(2))
                .configure(one.toBuilder().build(3));
        assertInstanceOf(KeyCheck.Accepted.class, ring.check("secret-key-1"));
    }
}
