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
record Held(ReleaseOffer offer, Configuration configuration, Set<String> chunks, Map<String, byte[]> pieces) {

    static final Held NOTHING = new Held(new ReleaseOffer(0, ""), Configuration.empty(), Set.of(), Map.of());

    private static final byte[] ABSENT = {};

    /** Returns a piece; empty where it is not held. */
    byte[] piece(String digest) {
        return pieces.getOrDefault(digest, ABSENT);
    }

    /** Returns what is held once a release was fetched whole; only the chunks that differ are read. */
    Result<Held> next(Fetching whole) {
        Configuration.Builder builder = configuration.toBuilder();
        Set<String> wanted = new HashSet<>(whole.manifest().chunks());
        for (String old : chunks) {
            if (!wanted.contains(old)) {
                new Chunk(old, piece(old)).things().orThrow().forEach(thing -> thing.remove(builder));
            }
        }
        List<Chunk.Declared> added = new ArrayList<>();
        Map<String, byte[]> nextPieces = new HashMap<>();
        for (String digest : whole.manifest().chunks()) {
            byte[] body = whole.piece(digest);
            nextPieces.put(digest, body);
            if (!chunks.contains(digest)) {
                Result<List<Chunk.Declared>> things = new Chunk(digest, body).things();
                if (!things.isOk()) {
                    return Result.failed(things.fault());
                }
                added.addAll(things.orThrow());
            }
        }
        added.forEach(thing -> thing.put(builder));
        nextPieces.put(whole.offer().manifest(), whole.piece(whole.offer().manifest()));
        Configuration next = builder.build(whole.offer().number());
        return Result.ok(new Held(whole.offer(), next, Set.copyOf(wanted), Map.copyOf(nextPieces)));
    }
}
