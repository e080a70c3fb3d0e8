package org.knapweedhatch.platform;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.knapweedhatch.helper.Validate;

/**
 * The difference between two bodies: ranges to copy from the base, and compressed literal bytes between them.
 *
 * <pre>{@code
 * BodyDelta delta = BodyDelta.between(before, after);
 * Optional<byte[]> after = delta.applyTo(before);
 * }</pre>
 */
public final class BodyDelta {

    /** Length of the blocks of the base that are looked for, in bytes; shorter equal ranges are sent as literals. */
    private static final int BLOCK = 128;

    /** Largest body that a difference may lead to, in bytes; several times the largest object of the store. */
    private static final int MAX_LENGTH = 4_000_000;

    /** Multiplier of the rolling hash. */
    private static final int PRIME = 0x01000193;

    /** {@link #PRIME} to the power of {@link #BLOCK} - 1, the weight of the byte that leaves the window. */
    private static final int LEAVING_WEIGHT = power(PRIME, BLOCK - 1);

    private static final int BUFFER_BYTES = 8_192;

    private final List<Range> ranges;
    private final byte[] literals;
    private final int length;
    private final int checksum;

    /**
     * Literal bytes, and a range of the base that follows them.
     *
     * @param literals number of literal bytes
     * @param offset offset of the range in the base
     * @param length length of the range, 0 behind the last literals
     */
    public record Range(int literals, int offset, int length) {
        public Range {
            Validate.isTrue(literals >= 0 && offset >= 0 && length >= 0, "negative range");
        }
    }

    private BodyDelta(List<Range> ranges, byte[] literals, int length, int checksum) {
        this.ranges = List.copyOf(ranges);
        this.literals = literals;
        this.length = length;
        this.checksum = checksum;
    }

    /**
     * Returns a difference that was encoded.
     *
     * @param literals the literal bytes, compressed with DEFLATE
     * @param length length of the body that results, in bytes
     * @param checksum CRC-32C of that body
     */
    public static BodyDelta of(List<Range> ranges, byte[] literals, int length, int checksum) {
        Validate.isTrue(length >= 0 && length <= MAX_LENGTH, "body of %d bytes", length);
        return new BodyDelta(ranges, literals, length, checksum);
    }

    /** Returns the difference that leads from a base to a body; both may be empty. */
    public static BodyDelta between(byte[] base, byte[] body) {
        List<Range> ranges = new ArrayList<>();
        ByteArrayOutputStream literals = new ByteArrayOutputStream();
        BlockIndex index = new BlockIndex(base);
        int literalFrom = 0;
        int at = 0;
        int hash = 0;
        boolean hashed = false;
        while (at + BLOCK <= body.length) {
            hash = hashed ? hash : hash(body, at);
            int found = index.find(body, at, hash);
            if (found >= 0) {
                int back = equalBefore(base, found, body, at, at - literalFrom);
                int end = at + equalFrom(base, found, body, at);
                int start = at - back;
                literals.write(body, literalFrom, start - literalFrom);
                ranges.add(new Range(start - literalFrom, found - back, end - start));
                literalFrom = end;
                at = end;
                hashed = false;
            } else {
                hashed = at + BLOCK < body.length;
                hash = hashed ? (hash - body[at] * LEAVING_WEIGHT) * PRIME + body[at + BLOCK] : hash;
                at++;
            }
        }
        literals.write(body, literalFrom, body.length - literalFrom);
        ranges.add(new Range(body.length - literalFrom, 0, 0));
        return new BodyDelta(ranges, compress(literals.toByteArray()), body.length, checksum(body));
    }

    /** Returns the body that results from a base; empty if the base is another one or the difference is malformed. */
    public Optional<byte[]> applyTo(byte[] base) {
        byte[] body = new byte[length];
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(literals);
            int at = 0;
            for (Range range : ranges) {
                boolean fits = range.literals() <= length - at
                        && range.length() <= length - at - range.literals()
                        && range.offset() <= base.length - range.length();
                if (!fits || !inflate(inflater, body, at, range.literals())) {
                    return Optional.empty();
                }
                at += range.literals();
                System.arraycopy(base, range.offset(), body, at, range.length());
                at += range.length();
            }
            return at == length && checksum(body) == checksum ? Optional.of(body) : Optional.empty();
        } catch (DataFormatException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }

    private static boolean inflate(Inflater inflater, byte[] body, int from, int count) throws DataFormatException {
        int read = 0;
        while (read < count) {
            int now = inflater.inflate(body, from + read, count - read);
            if (now == 0) {
                return false;
            }
            read += now;
        }
        return true;
    }

    /** Returns the literals and the ranges to copy, in the order of the body. */
    public List<Range> ranges() {
        return ranges;
    }

    /** Returns the literal bytes, compressed with DEFLATE. */
    public byte[] literals() {
        return literals.clone();
    }

    /** Returns the length of the body that results, in bytes. */
    public int length() {
        return length;
    }

    /** Returns the CRC-32C of the body that results. */
    public int checksum() {
        return checksum;
    }

    /** Returns an upper bound of the bytes that this difference takes in a message. */
    public int encodedBytes() {
        return literals.length + ranges.size() * 3 * Integer.BYTES + 2 * Long.BYTES;
    }

    private static int equalFrom(byte[] base, int baseAt, byte[] body, int bodyAt) {
        int mismatch = Arrays.mismatch(base, baseAt, base.length, body, bodyAt, body.length);
        return mismatch < 0 ? base.length - baseAt : mismatch;
    }

    private static int equalBefore(byte[] base, int baseAt, byte[] body, int bodyAt, int most) {
        int count = 0;
        while (count < most && count < baseAt && base[baseAt - count - 1] == body[bodyAt - count - 1]) {
            count++;
        }
        return count;
    }

    private static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static int checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    private static int hash(byte[] bytes, int from) {
        int hash = 0;
        for (int i = from; i < from + BLOCK; i++) {
            hash = hash * PRIME + bytes[i];
        }
        return hash;
    }

    private static int power(int base, int exponent) {
        int power = 1;
        for (int i = 0; i < exponent; i++) {
            power *= base;
        }
        return power;
    }

    /** The blocks of a base by their hash; of blocks with equal hashes, the first. */
    private static final class BlockIndex {
        private static final int EMPTY = -1;

        private final byte[] base;
        private final int[] offsets;
        private final int[] hashes;

        BlockIndex(byte[] base) {
            this.base = base;
            int blocks = base.length / BLOCK;
            int slots = Integer.highestOneBit(Math.max(1, blocks)) * 4;
            offsets = new int[slots];
            hashes = new int[slots];
            Arrays.fill(offsets, EMPTY);
            for (int block = 0; block < blocks; block++) {
                put(hash(base, block * BLOCK), block * BLOCK);
            }
        }

        private void put(int hash, int offset) {
            int slot = slot(hash);
            while (offsets[slot] != EMPTY && hashes[slot] != hash) {
                slot = (slot + 1) & (offsets.length - 1);
            }
            if (offsets[slot] == EMPTY) {
                offsets[slot] = offset;
                hashes[slot] = hash;
            }
        }

        /** Returns the offset of a block that equals the one at a place of the body; negative if there is none. */
        int find(byte[] body, int at, int hash) {
            int slot = slot(hash);
            while (offsets[slot] != EMPTY && hashes[slot] != hash) {
                slot = (slot + 1) & (offsets.length - 1);
            }
            int offset = offsets[slot];
            boolean equal = offset != EMPTY && Arrays.equals(base, offset, offset + BLOCK, body, at, at + BLOCK);
            return equal ? offset : EMPTY;
        }

        private int slot(int hash) {
            return (hash ^ (hash >>> 15)) & (offsets.length - 1);
        }
    }
}
