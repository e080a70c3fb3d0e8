package org.knapweedhatch.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BodyDeltaTest {

    private static final int EDITS = 400;

    private static byte[] text(SplittableRandom random, int items) {
        return IntStream.range(0, items)
                .mapToObj(i -> "{\"Name\":\"" + Long.toString(random.nextLong(), 36)
                        + "\",\"Type\":\"safe\",\"Timeout\":\"3000ms\",\"Attempts\":" + random.nextInt(4) + "}")
                .collect(Collectors.joining(",", "[", "]"))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a body with a range replaced by random bytes, or by a range of its own. */
    private static byte[] edit(SplittableRandom random, byte[] body) {
        int from = random.nextInt(body.length + 1);
        int to = Math.min(body.length, from + random.nextInt(700));
        byte[] replacement = new byte[random.nextInt(700)];
        if (random.nextBoolean() && body.length > replacement.length) {
            int copied = random.nextInt(body.length - replacement.length);
            System.arraycopy(body, copied, replacement, 0, replacement.length);
        } else {
            random.nextBytes(replacement);
        }
        byte[] edited = new byte[body.length - (to - from) + replacement.length];
        System.arraycopy(body, 0, edited, 0, from);
        System.arraycopy(replacement, 0, edited, from, replacement.length);
        System.arraycopy(body, to, edited, from + replacement.length, body.length - to);
        return edited;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void editedBodiesResultFromTheirBase(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] base = text(random, random.nextInt(200));
        for (int i = 0; i < EDITS; i++) {
            byte[] body = edit(random, base);
            Optional<byte[]> result = BodyDelta.between(base, body).applyTo(base);
            assertArrayEquals(body, result.orElseThrow(), "seed " + seed + ", edit " + i);
            base = random.nextInt(10) == 0 ? text(random, random.nextInt(200)) : body;
        }
    }

    @Test
    void emptyBodiesAreABaseAndAResult() {
        byte[] none = {};
        byte[] some = text(new SplittableRandom(1), 3);
        assertArrayEquals(some, BodyDelta.between(none, some).applyTo(none).orElseThrow());
        assertArrayEquals(none, BodyDelta.between(some, none).applyTo(some).orElseThrow());
        assertArrayEquals(none, BodyDelta.between(none, none).applyTo(none).orElseThrow());
    }

    @Test
    void aChangeCostsWhatItChanges() {
        byte[] base = text(new SplittableRandom(1), 5_000);
        String changed = new String(base, StandardCharsets.UTF_8)
                .replaceFirst("3000ms", "2500ms")
                .replaceFirst("\"Attempts\":\\d\\}\\]", "\"Attempts\":9},{\"Name\":\"added\"}]");
        BodyDelta delta = BodyDelta.between(base, changed.getBytes(StandardCharsets.UTF_8));
        assertTrue(delta.encodedBytes() < 1_000, delta.encodedBytes() + " bytes of " + base.length);
    }

    @Test
    void anotherBaseLeadsToNoBody() {
        SplittableRandom random = new SplittableRandom(1);
        byte[] base = text(random, 50);
        BodyDelta delta = BodyDelta.between(base, edit(random, base));
        assertEquals(Optional.empty(), delta.applyTo(text(random, 50)));
        assertEquals(Optional.empty(), delta.applyTo(new byte[0]));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void malformedDifferencesLeadToNoBody(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] base = text(random, 50);
        byte[] body = edit(random, edit(random, base));
        BodyDelta delta = BodyDelta.between(base, body);
        for (int i = 0; i < EDITS; i++) {
            byte[] literals = delta.literals();
            List<BodyDelta.Range> ranges = new ArrayList<>(delta.ranges());
            int changed = random.nextInt(ranges.size());
            BodyDelta.Range range = ranges.get(changed);
            if (random.nextBoolean()) {
                literals[random.nextInt(literals.length)] ^= (byte) (1 + random.nextInt(255));
            } else {
                int offset = range.offset() + 1 + random.nextInt(Integer.MAX_VALUE - range.offset() - 1);
                ranges.set(changed, new BodyDelta.Range(range.literals(), offset, range.length() + 1));
            }
            Optional<byte[]> result = BodyDelta.of(ranges, literals, delta.length(), delta.checksum())
                    .applyTo(base);
            result.ifPresent(bytes -> assertArrayEquals(body, bytes));
        }
    }
}
