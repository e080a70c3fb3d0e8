package org.knapweedhatch.release;

import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Digests;

/** Verifies the pieces of a release, that is its manifest and chunks, which are identified by SHA-256 digests. */
final class PieceDigest {

    private PieceDigest() {}

    /** Returns the bytes if they have the digest, and a fault otherwise. */
    static Result<byte[]> verify(String digest, byte[] bytes) {
        if (Digests.sha256(bytes).equals(digest)) {
            return Result.ok(bytes);
        }
        return Result.failed(Step.RELEASE, digest, "content does not match its digest");
    }
}
