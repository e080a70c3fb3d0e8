package org.knapweedhatch.edge;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.knapweedhatch.helper.Validate;

/**
 * Proof that a relayed request comes from a host of the system: an HMAC over what the receiver must believe.
 *
 * <pre>{@code
 * RelayProof proofs = RelayProof.withSecret(secret);
 * String proof = proofs.make(now, "lima-a-1", "crew-1", "orders", "lima-a-1-7");
 * boolean genuine = proofs.check(now, proof, "lima-a-1", "crew-1", "orders", "lima-a-1-7");
 * }</pre>
 */
public final class RelayProof {

    private static final String ALGORITHM = "HmacSHA256";
    private static final Duration MAX_AGE = Duration.ofSeconds(30);

    private final SecretKeySpec secret;

    private RelayProof(SecretKeySpec secret) {
        this.secret = secret;
    }

    /** Creates proofs with the secret that all hosts of a deployment share. */
    public static RelayProof withSecret(String secret) {
        Validate.notEmpty(secret, "secret");
        return new RelayProof(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /** Returns the proof of some facts as of {@code now}. */
    public String make(Instant now, String... facts) {
        return now.toEpochMilli() + "." + mac(now.toEpochMilli(), facts);
    }

    /** Returns whether a proof is genuine for the facts and at most 30 s away from {@code now}. */
    public boolean check(Instant now, String proof, String... facts) {
        int dot = proof == null ? -1 : proof.indexOf('.');
        if (dot <= 0) {
            return false;
        }
        long madeAt;
        try {
            madeAt = Long.parseLong(proof.substring(0, dot));
        } catch (NumberFormatException e) {
            return false;
        }
        byte[] expected = mac(madeAt, facts).getBytes(StandardCharsets.US_ASCII);
        byte[] actual = proof.substring(dot + 1).getBytes(StandardCharsets.US_ASCII);
        boolean fresh = Math.abs(now.toEpochMilli() - madeAt) <= MAX_AGE.toMillis();
        return fresh && MessageDigest.isEqual(expected, actual);
    }

    private String mac(long madeAt, String... facts) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(secret);
            mac.update(Long.toString(madeAt).getBytes(StandardCharsets.US_ASCII));
            for (String fact : facts) {
                mac.update((byte) 0);
                mac.update(fact.getBytes(StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
