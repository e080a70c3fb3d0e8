package org.knapweedhatch.cli.replay.check;

/**
 * What a caller received.
 *
 * @param kind kind of answer
 * @param reason why a request was refused; empty for answers
 * @param answerOf id of the request whose answer it is; 0 where there is none
 * @param bytes length of the body received
 */
public record Outcome(Kind kind, String reason, long answerOf, long bytes) {

    /** The kinds of answers. */
    public enum Kind {
        /** An answer that looks whole. */
        ANSWERED,
        /** A refusal which states that the request did not run. */
        NOT_RUN,
        /** The caller does not know whether the request ran. */
        UNKNOWN
    }

    /** Refusal of a key that is unknown, withdrawn or missing. */
    public static final String KEY = "key";

    /** Refusal because the team's contract is spent. */
    public static final String LIMIT = "limit";

    /** Refusal because no slot became free in time. */
    public static final String BUSY = "busy";

    /** Refusal because no host or target could be reached. */
    public static final String UNREACHABLE = "unreachable";

    /** Loss of an answer after the request was sent on. */
    public static final String LOST = "lost";

    /** Returns the answer of a request. */
    public static Outcome answered(long answerOf, long bytes) {
        return new Outcome(Kind.ANSWERED, "", answerOf, bytes);
    }

    /** Returns a refusal which states that the request did not run. */
    public static Outcome notRun(String reason) {
        return new Outcome(Kind.NOT_RUN, reason, 0, 0);
    }

    /** Returns the outcome of a request whose answer was lost. */
    public static Outcome unknown(String reason) {
        return new Outcome(Kind.UNKNOWN, reason, 0, 0);
    }
}
