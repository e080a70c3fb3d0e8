package org.knapweedhatch.answer;

/** What is certain about a request that was not answered by its target. */
public enum Outcome {
    /** It is certain that the request did not run and will not run. */
    NOT_RUN("not-run"),
    /** The request may have run, or may still run. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the outcome header. */
    public String headerValue() {
        return headerValue;
    }
}
