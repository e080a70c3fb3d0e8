package org.knapweedhatch.release;

/** The names of the objects that hold releases in the platform. */
public final class Names {

    /** The one head, changed by conditional update. */
    public static final String HEAD = "release/head";

    private static final String PIECES = "release/piece/";

    private Names() {}

    /** Returns the name of the immutable manifest or chunk with a digest. */
    public static String piece(String digest) {
        return PIECES + digest;
    }
}
