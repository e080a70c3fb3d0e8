package org.knapweedhatch.cli.replay.trace;

/** The kinds of failures that a trace can bring about; each lasts for a time or to the end of the trace. */
public enum FaultKind {
    /** A host's process dies and starts anew at the same address when the fault is over. */
    HOST_RESTART,
    /** A host's process dies and another host takes its place when the fault is over. */
    HOST_REPLACE,
    /** A host's process stands still; its clock goes on. */
    HOST_PAUSE,
    /** A target dies; its requests end without an answer. */
    TARGET_KILL,
    /** A target needs {@code amount} times as long. */
    TARGET_SLOW,
    /** A target refuses every request as not run. */
    TARGET_SHED,
    /** A failure domain is cut off from the other domains and from the platform, not from its callers. */
    DOMAIN_CUT,
    /** Every host and target of a region dies. */
    REGION_LOST,
    /** One direction of a link between two regions, {@code from->to}, carries nothing. */
    LINK_CUT,
    /** The platform answers no call; calls do not take effect. */
    PLATFORM_DOWN,
    /** Every call of the platform takes {@code amount} milliseconds longer. */
    PLATFORM_SLOW,
    /** Writes at the platform take effect and their answers are lost. */
    PLATFORM_LOSES_ANSWERS,
    /** Load reports of a region's targets stand still. */
    REPORTS_FROZEN
}
