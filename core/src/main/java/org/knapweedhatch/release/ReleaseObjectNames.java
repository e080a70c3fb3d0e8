package org.knapweedhatch.release;

/** Names of the objects that store releases in the platform. */
public final class ReleaseObjectNames {

    /** Name of the head object, the only mutable one; it is replaced by conditional updates. */
    public static final String HEAD = "release/head";

    private static final String PIECE_PREFIX = "release/piece/";

    private ReleaseObjectNames() {}

    /** Returns the name of the object of the manifest or chunk with a digest. */
    public static String piece(String digest) {
        return PIECE_PREFIX + digest;
    }
}
