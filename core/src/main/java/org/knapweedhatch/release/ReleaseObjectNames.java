package org.knapweedhatch.release;

/** The names of the objects that hold releases in the platform. */
public final class ReleaseObjectNames {

    /** The one head, changed by conditional update. */
    public static final String HEAD = "release/head";

    private static final String PIECE_PREFIX = "release/piece/";

    private ReleaseObjectNames() {}

    /** Returns the name of the immutable manifest or chunk with a digest. */
    public static String piece(String digest) {
        return PIECE_PREFIX + digest;
    }
}
