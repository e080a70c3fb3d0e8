package org.knapweedhatch.daemon;

/** How far a host's planned stop has come. */
public enum DrainState {
    /** It serves. */
    SERVING,
    /** It is out of new look-ups and serves on until answers given before have lapsed. */
    OUT_OF_LOOKUPS,
    /** It ends what runs and takes nothing new. */
    FINISHING,
    /** It hands back what it holds. */
    HANDING_OVER,
    /** It has stopped. */
    STOPPED
}
