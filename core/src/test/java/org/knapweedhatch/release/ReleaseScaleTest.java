package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.release.Acceptance.Accepted;
import org.knapweedhatch.world.ClientBlock;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Region;

/** Size of a change to a configuration of 27 regions and 230,000 client blocks. */
class ReleaseScaleTest {

    private static final int REGIONS = 27;
    private static final int BLOCKS = 230_000;
    private static final int BLOCKS_PER_NOTE = 46_000;
    private static final int MAX_DELTA_BYTES = 200_000;

    private final MemoryPlatform platform = MemoryPlatform.create(pause -> {});
    private final ReleaseStore store = ReleaseStore.over(platform, pause -> {});

    private static String cidr(int i) {
        return (11 + (i >> 16)) + "." + (i >> 8 & 255) + "." + (i & 255) + ".0/24";
    }

    private void acceptAll() {
        StringBuilder regions = new StringBuilder();
        for (int r = 0; r < REGIONS; r++) {
            regions.append("[add region r").append(r).append("]\n");
        }
        store.accept(TestNotes.of(regions.toString()));
        for (int from = 0; from < BLOCKS; from += BLOCKS_PER_NOTE) {
            StringBuilder note = new StringBuilder();
            for (int r = 0; r < REGIONS; r++) {
                note.append("[add blocks r").append(r).append("]\ncidrs =");
                for (int i = from + r; i < from + BLOCKS_PER_NOTE; i += REGIONS) {
                    note.append(' ').append(cidr(i));
                }
                note.append('\n');
            }
            assertInstanceOf(Accepted.class, store.accept(TestNotes.of(note.toString())));
        }
    }

    @Test
    void changeRewritesOnlyAffectedChunksWithinSizeLimit() {
        acceptAll();
        Configuration before = store.current().orThrow();
        assertEquals(BLOCKS, before.clientBlocks().size());
        platform.list("").orThrow().forEach(o -> assertTrue(o.body().length <= StoredObject.MAX_BYTES));
        Set<String> names = names();
        assertInstanceOf(
                Accepted.class, store.accept(TestNotes.of("[change blocks r3]\ncidrs = " + cidr(70_000) + "\n")));
        long bytes = 0;
        int objects = 0;
        for (StoredObject object : platform.list("").orThrow()) {
            boolean written = !names.contains(object.name()) || object.name().equals(ReleaseObjectNames.HEAD);
            bytes += written ? object.body().length : 0;
            objects += written ? 1 : 0;
        }
        assertTrue(objects <= 6, "objects " + objects);
        assertTrue(bytes < MAX_DELTA_BYTES, "bytes " + bytes);
        assertEquals(
                "r3", store.current().orThrow().clientBlocks().get(cidr(70_000)).region());
    }

    @Test
    void equalConfigurationsHaveEqualChunks() {
        Random random = new Random(5);
        Configuration.Builder forward = Configuration.builder().region(new Region("r1"));
        Configuration.Builder backward = Configuration.builder().region(new Region("r1"));
        for (int i = 0; i < 5_000; i++) {
            forward.clientBlock(new ClientBlock(cidr(i), "r1"));
            backward.clientBlock(new ClientBlock(cidr(4_999 - i), "r1"));
        }
        int removedBlock = random.nextInt(5_000);
        Configuration original = forward.build(1);
        Configuration copy = original.toBuilder().build(1);
        Configuration.Builder removed = copy.toBuilder();
        removed.remove(ClientBlock.class, cidr(removedBlock));
        removed.clientBlock(new ClientBlock(cidr(removedBlock), "r1"));
        assertEquals(Chunker.of(original), Chunker.of(backward.build(7)));
        assertEquals(Chunker.of(original), Chunker.of(removed.build(8)));
    }

    private Set<String> names() {
        Set<String> names = new HashSet<>();
        platform.list("").orThrow().forEach(o -> names.add(o.name()));
        return names;
    }
}
