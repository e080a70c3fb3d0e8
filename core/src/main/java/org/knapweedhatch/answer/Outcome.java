package org.knapweedhatch.answer;

/** Whether a request that its target did not answer may have run. */
public enum Outcome {
    /** The request did not run and will not run. */
    NOT_RUN("not-run"),
    /** The request may have run, may be running, or may still run. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the {@code Knapweedhatch-Outcome} header. */
    public String headerValue() {
        return headerValue;
    }
}
