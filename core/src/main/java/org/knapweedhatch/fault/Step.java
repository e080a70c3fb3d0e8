package org.knapweedhatch.fault;

/** The step of the work at which a fault arose. */
public enum Step {
    /** Reading or checking a settings file. */
    SETTINGS,
    /** Reading, checking or accepting a release note. */
    RELEASE,
    /** A call of the platform's object API. */
    PLATFORM,
    /** Looking up the key and its team. */
    KEY,
    /** Admission against the team's rate and burst. */
    LIMIT,
    /** Choosing a region, a failure domain or a target. */
    STEER,
    /** Waiting for a free slot. */
    WAIT,
    /** Connecting to a target or peer. */
    CONNECT,
    /** Sending the request to a target or peer. */
    SEND,
    /** Receiving the answer of a target or peer. */
    RECEIVE,
    /** A message between two hosts. */
    PEER,
    /** Claiming an idempotency key. */
    CLAIM,
    /** Reading a recorded trace. */
    TRACE
}
