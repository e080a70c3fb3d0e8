package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.StoredObject;

/**
 * Deletes the pieces that only a manifest which a new head no longer keeps had named.
 *
 * <p>Only pieces older than the head's own write are deleted, and at the version that was read. A release accepted
 * later may name such a piece again, but gives it a version above that head's first. What could not be deleted stays.
 */
final class PieceGarbageCollector {

    private final ObjectApi api;

    private PieceGarbageCollector(ObjectApi api) {
        this.api = api;
    }

    static PieceGarbageCollector over(ObjectApi api) {
        return new PieceGarbageCollector(api);
    }

    /** Sweeps after a head was written with a version; {@code before} is the head that it replaced. */
    void collectAfter(Head before, Head now, long headVersion) {
        if (before.earlier().size() < Head.KEPT_MANIFESTS) {
            return;
        }
        String dropped = before.earlier().get(Head.KEPT_MANIFESTS - 1);
        Set<String> kept = new HashSet<>(now.earlier());
        kept.add(now.manifest());
        if (kept.contains(dropped)) {
            return;
        }
        Result<List<String>> old = chunksOf(dropped);
        for (String manifest : List.copyOf(kept)) {
            Result<List<String>> chunks = chunksOf(manifest);
            if (!chunks.isOk()) {
                return;
            }
            kept.addAll(chunks.orThrow());
        }
        if (old.isOk()) {
            List<String> gone = new ArrayList<>(old.orThrow());
            gone.add(dropped);
            gone.removeAll(kept);
            gone.forEach(digest -> delete(digest, headVersion));
        }
    }

    private Result<List<String>> chunksOf(String manifest) {
        return api.read(ReleaseObjectNames.piece(manifest))
                .then(object -> Manifest.parse(manifest, object.body()))
                .then(parsed -> Result.ok(parsed.chunks()));
    }

    private void delete(String digest, long headVersion) {
        Result<StoredObject> piece = api.read(ReleaseObjectNames.piece(digest));
        if (piece.isOk() && piece.orThrow().version() < headVersion) {
            api.delete(piece.orThrow().name(), piece.orThrow().version());
        }
    }
}
