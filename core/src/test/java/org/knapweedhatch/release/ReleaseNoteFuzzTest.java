package org.knapweedhatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.knapweedhatch.ini.Checked;
import org.knapweedhatch.ini.FileFault;
import org.knapweedhatch.platform.MemoryPlatform;
import org.knapweedhatch.world.Configuration;

/** Fuzz tests: parsing and applying arbitrary bytes yields either a list of faults or a valid configuration. */
class ReleaseNoteFuzzTest {

    private static final List<String> WORDS = List.of(
            "add",
            "change",
            "withdraw",
            "region",
            "domain",
            "service",
            "route",
            "target",
            "team",
            "key",
            "link",
            "shift",
            "blocks",
            "drain",
            "lima",
            "lima-a",
            "orders",
            "orders-1",
            "crew-1",
            "crew-1-a",
            "lima->arequipa",
            "orders:lima->arequipa",
            "target orders-1",
            "lima->lima",
            "->",
            ":",
            "",
            "[",
            "]",
            "\u0000",
            "ñandú",
            "x".repeat(300),
            "a b c d",
            "arequipa");
    private static final List<String> FIELDS = List.of(
            "region",
            "timeout",
            "path",
            "service",
            "access",
            "domain",
            "address",
            "slots",
            "connections",
            "rate",
            "burst",
            "team",
            "digest",
            "bytes-per-second",
            "cap",
            "cidrs",
            "colour",
            "");
    private static final List<String> VALUES = List.of(
            "lima",
            "nowhere",
            "0",
            "-1",
            "1",
            "1e308",
            "NaN",
            "99999999999999999999",
            "0.5",
            "1.5",
            "2s",
            "2 fortnights",
            "127.0.0.1:80",
            "127.0.0.1:99999",
            "999.0.0.1:1",
            "[::1]:9",
            "/orders",
            "orders",
            "keyed",
            "open",
            "KEYED",
            "10.0.0.0/8",
            "10.0.0.1/8",
            "2001:db8::/129",
            "10.1.0.0/16 10.1.0.0/16",
            "a".repeat(64),
            "A".repeat(64),
            "",
            " ",
            "%s%n",
            "\\u0041",
            "${x}",
            "١٢",
            "y".repeat(2_000));

    private static final Configuration BASE =
            TestNotes.of(TestNotes.BASE).apply(Configuration.empty()).orThrow();
    private static final byte[] GOOD = TestNotes.BASE.getBytes(StandardCharsets.UTF_8);

    @Provide
    Arbitrary<byte[]> grammatical() {
        Arbitrary<String> field = Combinators.combine(Arbitraries.of(FIELDS), Arbitraries.of(VALUES))
                .as((name, value) -> name + " = " + value + "\n");
        Arbitrary<String> loose = Arbitraries.of(WORDS).list().ofMaxSize(4).map(w -> String.join(" ", w));
        Arbitrary<String> wellFormed = Combinators.combine(
                        Arbitraries.of(Verb.values()), Arbitraries.of(ResourceKind.values()), Arbitraries.of(WORDS))
                .as((verb, kind, name) -> verb.keyword() + " " + kind.keyword() + " " + name);
        Arbitrary<String> title = Arbitraries.frequencyOf(Tuple.of(1, loose), Tuple.of(9, wellFormed));
        Arbitrary<String> section = Combinators.combine(title, field.list().ofMaxSize(4))
                .as((words, fields) -> "[" + words + "]\n" + String.join("", fields));
        return section.list()
                .ofMinSize(1)
                .ofMaxSize(3)
                .map(all -> String.join("", all).getBytes(StandardCharsets.UTF_8));
    }

    @Provide
    Arbitrary<byte[]> damaged() {
        Arbitrary<Integer> offset = Arbitraries.integers().between(0, GOOD.length - 1);
        Arbitrary<Byte> value = Arbitraries.bytes();
        Arbitrary<List<byte[]>> edits = Combinators.combine(
                        offset, value, Arbitraries.integers().between(0, 2))
                .as(ReleaseNoteFuzzTest::edit)
                .list()
                .ofMinSize(1)
                .ofMaxSize(6);
        return edits.map(ReleaseNoteFuzzTest::damage);
    }

    @Provide
    Arbitrary<byte[]> rewritten() {
        List<String> lines = TestNotes.BASE.lines().toList();
        Arbitrary<String> field = Combinators.combine(Arbitraries.of(FIELDS), Arbitraries.of(VALUES))
                .as((name, value) -> name + " = " + value);
        Arbitrary<String> line = Arbitraries.oneOf(field, Arbitraries.of(lines));
        Arbitrary<Integer> offset = Arbitraries.integers().between(0, lines.size() - 1);
        Arbitrary<List<String>> rewritten = Combinators.combine(
                        offset, line, Arbitraries.integers().between(0, 9))
                .as((at, text, kind) -> rewrite(lines, at, text, kind));
        return rewritten.map(all -> String.join("\n", all).getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> rewrite(List<String> lines, int at, String text, int kind) {
        List<String> next = new ArrayList<>(lines);
        switch (kind) {
            case 0 -> next.remove(at);
            case 1 -> next.set(at, text);
            case 2 -> next.add(at, text);
            default -> next.set(at, next.get(at).replaceFirst("= .*", "= ") + text.substring(text.indexOf('=') + 1));
        }
        return next;
    }

    private static byte[] edit(int offset, byte value, int kind) {
        return new byte[] {(byte) (offset >> 8), (byte) offset, value, (byte) kind};
    }

    private static byte[] damage(List<byte[]> edits) {
        byte[] bytes = GOOD;
        for (byte[] edit : edits) {
            int offset = Math.min(bytes.length, ((edit[0] & 0xff) << 8) | (edit[1] & 0xff));
            ByteArrayOutputStream next = new ByteArrayOutputStream();
            next.writeBytes(Arrays.copyOf(bytes, offset));
            if (edit[3] != 0) {
                next.write(edit[2]);
            }
            int from = Math.min(bytes.length, edit[3] == 2 ? offset : offset + 1);
            next.writeBytes(Arrays.copyOfRange(bytes, from, bytes.length));
            bytes = next.toByteArray();
        }
        return bytes;
    }

    @Property(tries = 5_000, seed = "11")
    void grammaticalNoteYieldsFaultsOrValidConfiguration(@ForAll("grammatical") byte[] bytes) {
        check(bytes, BASE);
    }

    @Property(tries = 5_000, seed = "12")
    void damagedNoteYieldsFaultsOrValidConfiguration(@ForAll("damaged") byte[] bytes) {
        check(bytes, Configuration.empty());
    }

    @Property(tries = 5_000, seed = "15")
    void noteWithRewrittenLineYieldsFaultsOrValidConfiguration(@ForAll("rewritten") byte[] bytes) {
        check(bytes, Configuration.empty());
    }

    @Property(tries = 2_000, seed = "13")
    void arbitraryBytesYieldFaultsOrValidConfiguration(@ForAll byte[] bytes) {
        check(bytes, BASE);
    }

    /**
     * Checks that a rejected note has located faults and that an accepted one survives chunking and parsing unchanged.
     */
    private static void check(byte[] bytes, Configuration current) {
        Checked<Configuration> next = ReleaseNote.parse("n.ini", bytes).then(note -> note.apply(current));
        if (!next.isValid()) {
            assertFalse(next.faults().isEmpty());
            next.faults().forEach(ReleaseNoteFuzzTest::checkFault);
            return;
        }
        assertEquals(current.number() + 1, next.orThrow().number());
        Configuration.Builder reparsed = Configuration.builder();
        for (Chunk chunk : Chunker.of(next.orThrow())) {
            chunk.resources().orThrow().forEach(resource -> resource.put(reparsed));
        }
        assertEquals(next.orThrow(), reparsed.build(next.orThrow().number()));
    }

    private static void checkFault(FileFault fault) {
        assertEquals("n.ini", fault.file());
        assertTrue(fault.line() >= 0);
        assertFalse(fault.message().contains("Exception") || fault.message().contains("null"), fault.toString());
    }

    @Property(tries = 300, seed = "14")
    void rejectedNoteLeavesPlatformUnchanged(@ForAll("grammatical") byte[] bytes) {
        MemoryPlatform platform = MemoryPlatform.create(pause -> {});
        ReleaseStore store = ReleaseStore.over(platform, pause -> {});
        store.accept(TestNotes.of(TestNotes.BASE));
        List<Object> before = new ArrayList<>(platform.list("").orThrow());
        Checked<ReleaseNote> note = ReleaseNote.parse("n.ini", bytes);
        if (note.isValid() && store.accept(note.orThrow()) instanceof Acceptance.Accepted) {
            return;
        }
        assertEquals(before, platform.list("").orThrow());
    }
}
