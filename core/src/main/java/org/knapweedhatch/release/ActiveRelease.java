package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.world.Configuration;

/**
 * The release that is active on a host: its configuration, and the pieces that the host serves to others.
 *
 * @param offer number and manifest digest
 * @param configuration the active configuration
 * @param chunks digests of its chunks
 * @param pieces bodies of the manifest and the chunks, by digest
 */
record ActiveRelease(ReleaseOffer offer, Configuration configuration, Set<String> chunks, Map<String, byte[]> pieces) {

    static final ActiveRelease NONE =
            new ActiveRelease(new ReleaseOffer(0, ""), Configuration.empty(), Set.of(), Map.of());

    private static final byte[] ABSENT = {};

    /** Returns the body of a piece; empty if this release does not contain it. */
    byte[] piece(String digest) {
        return pieces.getOrDefault(digest, ABSENT);
    }

    /** Returns the release that was fetched completely; only the chunks that differ from this one are parsed. */
    Result<ActiveRelease> upgradeTo(ReleaseFetch fetch) {
        Configuration.Builder builder = configuration.toBuilder();
        Set<String> wanted = new HashSet<>(fetch.manifest().chunks());
        for (String previous : chunks) {
            if (!wanted.contains(previous)) {
                new Chunk(previous, piece(previous))
                        .resources()
                        .orThrow()
                        .forEach(resource -> resource.remove(builder));
            }
        }
        List<Chunk.Resource> added = new ArrayList<>();
        Map<String, byte[]> nextPieces = new HashMap<>();
        for (String digest : fetch.manifest().chunks()) {
            byte[] body = fetch.piece(digest);
            nextPieces.put(digest, body);
            if (!chunks.contains(digest)) {
                Result<List<Chunk.Resource>> resources = new Chunk(digest, body).resources();
                if (!resources.isOk()) {
                    return Result.failed(resources.fault());
                }
                added.addAll(resources.orThrow());
            }
        }
        added.forEach(resource -> resource.put(builder));
        nextPieces.put(fetch.offer().manifest(), fetch.piece(fetch.offer().manifest()));
        Configuration next = builder.build(fetch.offer().number());
        return Result.ok(new ActiveRelease(fetch.offer(), next, Set.copyOf(wanted), Map.copyOf(nextPieces)));
    }
}
