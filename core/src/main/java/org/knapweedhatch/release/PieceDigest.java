package org.knapweedhatch.release;

import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Digests;

/** Immutable pieces of a release, named by their digests. */
final class PieceDigest {

    private PieceDigest() {}

    /** Returns the bytes where they have the digest, or a fault. */
    static Result<byte[]> verify(String digest, byte[] bytes) {
        if (Digests.sha256(bytes).equals(digest)) {
            return Result.ok(bytes);
        }
        return Result.failed(Step.RELEASE, digest, "the bytes have another digest");
    }
}
