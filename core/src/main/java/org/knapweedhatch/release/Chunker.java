package org.knapweedhatch.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knapweedhatch.world.ClientBlock;
import org.knapweedhatch.world.Configuration;

/**
 * Splits the canonical text of a configuration into content-defined chunks: boundaries depend only on nearby content,
 * so a change to one resource rewrites the chunk that contains it and leaves the others unchanged.
 */
final class Chunker {

    private static final int MIN_BYTES = 4_096;
    private static final int MAX_BYTES = 65_536;
    /** Average distance from the minimum chunk size to the next boundary, in bytes. */
    private static final int BOUNDARY_INTERVAL_BYTES = 12_288;

    private final List<Chunk> chunks = new ArrayList<>();
    private final StringBuilder openChunk = new StringBuilder();

    private Chunker() {}

    /** Returns the chunks of a configuration in canonical order, by kind and name. */
    static List<Chunk> of(Configuration configuration) {
        Chunker chunks = new Chunker();
        for (ResourceKind kind : ResourceKind.values()) {
            if (kind == ResourceKind.BLOCKS) {
                chunks.addBlocks(configuration);
            } else {
                new TreeMap<>(kind.resourcesIn(configuration))
                        .forEach((name, resource) -> chunks.add(kind, name, resource));
            }
            chunks.closeChunk();
        }
        return chunks.chunks;
    }

    private void add(ResourceKind kind, String name, Record resource) {
        int before = openChunk.length();
        openChunk.append('[').append(kind.keyword()).append(' ').append(name).append("]\n");
        for (Map.Entry<String, String> field : new TreeMap<>(kind.fieldsOf(resource)).entrySet()) {
            openChunk
                    .append(field.getKey())
                    .append('=')
                    .append(field.getValue())
                    .append('\n');
        }
        closeAtBoundary(name, openChunk.length() - before);
    }

    private void addBlocks(Configuration configuration) {
        Map<String, List<String>> byRegion = new TreeMap<>();
        for (ClientBlock block : configuration.clientBlocks().values()) {
            byRegion.computeIfAbsent(block.region(), r -> new ArrayList<>()).add(block.cidr());
        }
        byRegion.forEach((region, cidrs) -> {
            cidrs.sort(null);
            cidrs.forEach(cidr -> addBlock(region, cidr));
            closeChunk();
        });
    }

    private void addBlock(String region, String cidr) {
        if (openChunk.length() == 0) {
            openChunk
                    .append('[')
                    .append(ResourceKind.BLOCKS.keyword())
                    .append(' ')
                    .append(region)
                    .append("]\ncidrs=");
        }
        openChunk.append(cidr).append(' ');
        closeAtBoundary(cidr, cidr.length() + 1);
    }

    private void closeAtBoundary(String name, int bytes) {
        boolean boundary = Math.floorMod(mixBits(name.hashCode()), BOUNDARY_INTERVAL_BYTES) < bytes;
        if (openChunk.length() >= MAX_BYTES || (boundary && openChunk.length() >= MIN_BYTES)) {
            closeChunk();
        }
    }

    private static int mixBits(int hash) {
        int h = hash * 0x9E3779B9;
        return h ^ (h >>> 16);
    }

    private void closeChunk() {
        if (openChunk.length() > 0) {
            chunks.add(Chunk.of(openChunk.toString()));
            openChunk.setLength(0);
        }
    }
}
