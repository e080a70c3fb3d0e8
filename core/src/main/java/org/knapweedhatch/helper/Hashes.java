package org.knapweedhatch.helper;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Hashes of names, the same on every host. */
public final class Hashes {

    private static final double HALF_RANGE = 1L << 31;

    private Hashes() {}

    /** Returns the hash of a name. */
    public static int of(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
    }

    /** Returns a number from 0 to 1, drawn by a name and a seed. */
    public static double fraction(String name, int seed) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return ((MurmurHash3.hash32x86(bytes, 0, bytes.length, seed) >>> 1) + 0.5) / HALF_RANGE;
    }
}
