package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.knapweedhatch.release.TestNotes.faults;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Drain;

class ReleaseNoteTest {

    private final Configuration base =
            TestNotes.of(TestNotes.BASE).apply(Configuration.empty()).orThrow();

    private List<String> faultsOf(String text) {
        return faults(TestNotes.parse(text).then(note -> note.apply(base)));
    }

    @Test
    void validNoteProducesNextConfiguration() {
        assertEquals(1, base.number());
        assertEquals(Duration.ofSeconds(2), base.services().get("orders").timeout());
        assertEquals(0.2, base.shiftCap("orders", "lima", "arequipa"));
        assertEquals(2, base.clientBlocks().size());
    }

    @Test
    void changeKeepsUnnamedFields() {
        Configuration next = TestNotes.of("[change target orders-1]\nslots = 5\n")
                .apply(base)
                .orThrow();
        assertEquals(5, next.targets().get("orders-1").slots());
        assertEquals(330, next.targets().get("orders-1").connections());
        assertEquals(2, next.number());
    }

    @Test
    void drainsAreAddedAndWithdrawn() {
        Configuration drained = TestNotes.of("[add drain region lima]\n[add drain host lima-a-1]\n")
                .apply(base)
                .orThrow();
        assertTrue(drained.drains().contains(new Drain(Drain.Kind.REGION, "lima")));
        Configuration ended =
                TestNotes.of("[withdraw drain region lima]\n").apply(drained).orThrow();
        assertEquals(1, ended.drains().size());
    }

    @Test
    void blocksMoveBetweenRegionsAndAreWithdrawn() {
        Configuration moved = TestNotes.of("[change blocks arequipa]\ncidrs = 10.1.0.0/16\n")
                .apply(base)
                .orThrow();
        assertEquals("arequipa", moved.clientBlocks().get("10.1.0.0/16").region());
        Configuration withdrawn = TestNotes.of("[withdraw blocks arequipa]\ncidrs = 10.1.0.0/16\n")
                .apply(moved)
                .orThrow();
        assertEquals(1, withdrawn.clientBlocks().size());
    }

    @Test
    void eachFaultIsReportedOnceWithFileLineAndField() {
        assertEquals(
                List.of("n.ini:3: colour: unknown field", "n.ini:6: cap: out of range 0.0 to 1.0: 1.5"),
                faultsOf("[add team a]\nrate=1\ncolour=red\nburst=1\n[change shift orders:lima->arequipa]\ncap=1.5\n"));
    }

    @Test
    void resourceInUseCannotBeWithdrawn() {
        assertEquals(
                List.of("n.ini:1: withdraw domain lima-a: still in use by target orders-1"),
                faultsOf("[withdraw domain lima-a]\n"));
    }

    @Test
    void missingReferencesAndDuplicatesAreRejected() {
        assertEquals(
                List.of("n.ini:2: team: no such team: nobody"),
                faultsOf("[add key k]\nteam=nobody\ndigest=" + "a".repeat(64) + "\n"));
        assertEquals(List.of("n.ini:1: add region lima: region exists already: lima"), faultsOf("[add region lima]\n"));
        assertEquals(List.of("n.ini:1: withdraw team x: no such team"), faultsOf("[withdraw team x]\n"));
        assertEquals(
                List.of("n.ini:3: digest: the same as that of key crew-1-a"),
                faultsOf("[add key k]\nteam=crew-1\ndigest="
                        + base.keys().get("crew-1-a").digest() + "\n"));
        assertEquals(
                List.of("n.ini:2: withdraw team crew-1: the note names the same resource twice"),
                faultsOf("[change team crew-1]\n[withdraw team crew-1]\n"));
    }

    @Test
    void plaintextKeyIsRejectedAndNotEchoed() {
        List<String> faults = faultsOf("[add key k]\nteam=crew-1\ndigest=my-secret\n");
        assertEquals(1, faults.size());
        assertTrue(!faults.get(0).contains("my-secret"));
    }

    @Test
    void noteWithoutEffectIsRejected() {
        Checked<Configuration> same =
                TestNotes.of("[change team crew-1]\nrate=100\n").apply(base);
        assertEquals(List.of("n.ini: note changes nothing in configuration 1"), faults(same));
    }
}
