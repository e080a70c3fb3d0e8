package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.Optional;
import org.knapweedhatch.helper.Validate;

/**
 * A final answer of the system itself in place of a target's.
 *
 * <pre>{@code
 * Refusal refusal = Refusal.of(Reason.BUSY).retryAfter(Duration.ofMillis(300));
 * }</pre>
 *
 * @param reason why
 * @param retry when a repeat may be taken; empty where the system cannot tell
 */
public record Refusal(Reason reason, Optional<Duration> retry) {

    public Refusal {
        Validate.notNull(reason, "reason");
        Validate.notNull(retry, "retry");
    }

    /** Creates a refusal that names no time for a repeat. */
    public static Refusal of(Reason reason) {
        return new Refusal(reason, Optional.empty());
    }

    /** Returns this refusal with the time after which a repeat may be taken. */
    public Refusal retryAfter(Duration time) {
        return new Refusal(reason, Optional.of(time));
    }

    /** Returns the HTTP status. */
    public int status() {
        return reason.status();
    }

    /** Returns what is certain about the request. */
    public Outcome outcome() {
        return reason.outcome();
    }

    /** Returns the value of the Retry-After header, whole seconds rounded up and at least 1. */
    public Optional<Long> retryAfterSeconds() {
        return retry.map(time -> Math.max(1, time.plusNanos(999_999_999).toSeconds()));
    }
}
