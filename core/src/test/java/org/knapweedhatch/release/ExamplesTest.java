package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedhatch.helper.Digests;
import org.knapweedhatch.world.Access;
import org.knapweedhatch.world.Configuration;

class ExamplesTest {

    @ParameterizedTest
    @CsvSource({"agency.ini, 3, 7, 37500000", "rafaga.ini, 3, 5, 500000000"})
    void exampleNotesMatchStatedSizes(String file, int minSlots, int maxSlots, long bytes) throws IOException {
        byte[] note = Files.readAllBytes(Path.of("..", "examples", file));
        Configuration c = ReleaseNote.parse(file, note)
                .then(n -> n.apply(Configuration.empty()))
                .orThrow();
        assertEquals(3, c.regions().size());
        assertEquals(6, c.domains().size());
        assertEquals(4, c.services().size());
        assertEquals(8, c.teams().size());
        assertEquals(6, c.links().size());
        c.services().keySet().forEach(s -> assertEquals(12, c.targetsOf(s).size()));
        c.targets().values().forEach(t -> assertTrue(t.slots() >= minSlots && t.slots() <= maxSlots));
        c.targets().values().forEach(t -> assertEquals(330, t.connections()));
        c.links().values().forEach(l -> assertEquals(bytes, l.bytesPerSecond()));
        c.teams()
                .keySet()
                .forEach(t -> assertTrue(
                        c.keyByDigest(Digests.sha256("demo-key-" + t)).isPresent()));
        assertEquals(
                1,
                c.routes().values().stream()
                        .filter(r -> r.access() == Access.OPEN)
                        .count());
    }
}
