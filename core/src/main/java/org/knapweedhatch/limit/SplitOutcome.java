package org.knapweedhatch.limit;

/** Outcome of a conditional update of the split at the platform. */
public enum SplitOutcome {
    /** It took effect. */
    WON,
    /** It did not take effect and never will: the stored version was another one, or the platform refused it. */
    LOST,
    /** No answer came: it may have taken effect or may still do so. The split must be read to find out. */
    UNKNOWN
}
