package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.StoredObject;

/**
 * Deletes the pieces that are referenced only by the manifest that a new head dropped from its list of kept manifests.
 *
 * <p>A piece is deleted only if its version is below that of the head object, and only at the version that was read. A
 * later release that refers to the same piece first raises its version above that of the head. Pieces that could not be
 * deleted are left in the platform.
 */
final class PieceGarbageCollector {

    private final ObjectApi api;

    private PieceGarbageCollector(ObjectApi api) {
        this.api = api;
    }

    static PieceGarbageCollector over(ObjectApi api) {
        return new PieceGarbageCollector(api);
    }

    /**
     * Deletes the pieces that became unreferenced when head {@code now}, written with version {@code headVersion},
     * replaced {@code before}.
     */
    void collectAfter(Head before, Head now, long headVersion) {
        if (before.earlier().size() < Head.KEPT_MANIFESTS) {
            return;
        }
        String droppedManifest = before.earlier().get(Head.KEPT_MANIFESTS - 1);
        Set<String> kept = new HashSet<>(now.earlier());
        kept.add(now.manifest());
        if (kept.contains(droppedManifest)) {
            return;
        }
        Result<List<String>> droppedChunks = chunksOf(droppedManifest);
        for (String manifest : List.copyOf(kept)) {
            Result<List<String>> chunks = chunksOf(manifest);
            if (!chunks.isOk()) {
                return;
            }
            kept.addAll(chunks.orThrow());
        }
        if (droppedChunks.isOk()) {
            List<String> garbage = new ArrayList<>(droppedChunks.orThrow());
            garbage.add(droppedManifest);
            garbage.removeAll(kept);
            garbage.forEach(digest -> delete(digest, headVersion));
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
