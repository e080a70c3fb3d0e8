package org.knapweedhatch.peer;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.knapweedhatch.peer.proto.HelloRecord;

/** The proofs by which both ends of a connection show that they know the shared secret. */
final class Handshake {

    static final int NONCE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private Handshake() {}

    /** The end that makes a proof, so that neither proof can be sent back as the other one. */
    enum Role {
        DIALLER,
        ACCEPTOR
    }

    /** Returns the proof of one end over both greetings. */
    static ByteString proof(byte[] secret, Role role, HelloRecord dialler, HelloRecord acceptor) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            update(mac, role.name().getBytes(StandardCharsets.UTF_8));
            update(mac, dialler.toByteArray());
            update(mac, acceptor.toByteArray());
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    private static void update(Mac mac, byte[] part) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
        mac.update(part);
    }

    /** Compares two proofs in constant time. */
    static boolean matches(ByteString expected, ByteString shown) {
        return MessageDigest.isEqual(expected.toByteArray(), shown.toByteArray());
    }

    /** Returns whether a greeting has the form that a proof needs. */
    static boolean wellFormed(HelloRecord hello) {
        return !hello.getFrom().isBlank() && hello.getNonce().size() == NONCE_BYTES && hello.getIncarnation() >= 0;
    }
}
