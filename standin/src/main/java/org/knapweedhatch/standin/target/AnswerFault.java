package org.knapweedhatch.standin.target;

/** What a target stand-in does to an answer. */
public enum AnswerFault {
    /** Nothing. */
    NONE,
    /** The request runs and the connection is closed before the answer. */
    LOSE,
    /** The request runs and the answer's body is cut in the middle. */
    CUT,
    /** The request does not run; the target says so. */
    SHED,
    /** The answer carries the number of another request. */
    CROSS
}
