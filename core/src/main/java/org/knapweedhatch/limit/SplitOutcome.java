package org.knapweedhatch.limit;

/** How a proposal ended at the platform. */
public enum SplitOutcome {
    /** It took effect. */
    WON,
    /** It did not take effect and never will: another version was there, or the platform refused it. */
    LOST,
    /** No answer came: it may have taken effect or may still do so. The split is to be read back. */
    UNKNOWN
}
