package org.knapweedhatch.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.junit.jupiter.api.Test;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.world.ApiKey;
import org.knapweedhatch.world.Configuration;

class KeyRingTest {

    private final Configuration one = Configuration.builder()
            .key(new ApiKey("k1", "crew-1", Digests.sha256("secret-key-1")))
            .build(1);

    @Test
    void activeKeyIdentifiesTeam() {
        KeyCheck check = KeyRing.empty().withConfiguration(one).check("secret-key-1");
        assertEquals(
                "crew-1", assertInstanceOf(KeyCheck.Accepted.class, check).key().team());
    }

    @Test
    void withdrawnKeyIsDistinguishedFromUnknownKey() {
        KeyRing ring = KeyRing.empty()
                .withConfiguration(one)
                .withConfiguration(Configuration.builder().build(2));
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.WITHDRAWN), ring.check("secret-key-1"));
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.UNKNOWN), ring.check("secret-key-2"));
    }

    @Test
    void missingAndMalformedKeysAreRejected() {
        KeyRing ring = KeyRing.empty().withConfiguration(one);
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.MISSING), ring.check(null));
        assertEquals(new KeyCheck.Rejected(KeyCheck.Reason.MALFORMED), ring.check("no spaces allowed"));
    }

    @Test
    void readdedKeyIsAccepted() {
        KeyRing ring = KeyRing.empty()
                .withConfiguration(one)
                .withConfiguration(Configuration.builder().build(2))
                .withConfiguration(one.toBuilder().build(3));
        assertInstanceOf(KeyCheck.Accepted.class, ring.check("secret-key-1"));
    }
}
