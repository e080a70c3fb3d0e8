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
 * What a host has in force: the configuration, and the pieces that it serves to others.
 *
 * @param offer number and manifest
 * @param configuration the configuration
 * @param chunks digests of the chunks
 * @param pieces manifest and chunks by digest
 */
record ActiveRelease(ReleaseOffer offer, Configuration configuration, Set<String> chunks, Map<String, byte[]> pieces) {

    static final ActiveRelease NONE =
            new ActiveRelease(new ReleaseOffer(0, ""), Configuration.empty(), Set.of(), Map.of());

    private static final byte[] ABSENT = {};

    /** Returns a piece; empty where it is not held. */
    byte[] piece(String digest) {
        return pieces.getOrDefault(digest, ABSENT);
    }

    /** Returns what is held once a release was fetched whole; only the chunks that differ are read. */
    Result<ActiveRelease> upgradeTo(ReleaseFetch whole) {
        Configuration.Builder builder = configuration.toBuilder();
        Set<String> wanted = new HashSet<>(whole.manifest().chunks());
        for (String old : chunks) {
            if (!wanted.contains(old)) {
                new Chunk(old, piece(old)).resources().orThrow().forEach(thing -> thing.remove(builder));
            }
        }
        List<Chunk.Resource> added = new ArrayList<>();
        Map<String, byte[]> nextPieces = new HashMap<>();
        for (String digest : whole.manifest().chunks()) {
            byte[] body = whole.piece(digest);
            nextPieces.put(digest, body);
            if (!chunks.contains(digest)) {
                Result<List<Chunk.Resource>> things = new Chunk(digest, body).resources();
                if (!things.isOk()) {
                    return Result.failed(things.fault());
                }
                added.addAll(things.orThrow());
            }
        }
        added.forEach(thing -> thing.put(builder));
        nextPieces.put(whole.offer().manifest(), whole.piece(whole.offer().manifest()));
        Configuration next = builder.build(whole.offer().number());
        return Result.ok(new ActiveRelease(whole.offer(), next, Set.copyOf(wanted), Map.copyOf(nextPieces)));
    }
}
