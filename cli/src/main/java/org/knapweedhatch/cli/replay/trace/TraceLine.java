package org.knapweedhatch.cli.replay.trace;

import org.knapweedhatch.helper.Validate;

/** One line of a trace. Times are microseconds since the start of the trace. */
public sealed interface TraceLine {

    /** Largest mean rate of one line. */
    double MAX_PER_SECOND = 1_000_000;

    /** Returns when it happens, in microseconds since the start. */
    long atMicros();

    /**
     * The first line of every trace.
     *
     * @param name name of the trace
     * @param deployment the deployment that it plays in
     * @param seed seed of everything random in a replay
     * @param endMicros when the replay ends
     */
    record Header(String name, Deployment deployment, long seed, long endMicros) implements TraceLine {
        public Header {
            Validate.notEmpty(name, "name");
            Validate.notNull(deployment, "deployment");
            Validate.positive(endMicros, "endMicros");
        }

        @Override
        public long atMicros() {
            return 0;
        }
    }

    /**
     * A caller sends a request.
     *
     * @param key name of the key it shows; empty for none
     * @param service service it asks for
     * @param region region nearest to the caller
     * @param idempotent whether it may run more than once
     * @param requestBytes length of its body
     * @param answerBytes length of the answer's body
     * @param workMicros time a target needs for it
     * @param idempotencyKey key that repeats of the same request share; empty for none
     */
    record Arrival(
            long atMicros,
            String key,
            String service,
            String region,
            boolean idempotent,
            long requestBytes,
            long answerBytes,
            long workMicros,
            String idempotencyKey)
            implements TraceLine {}

    /**
     * Callers send requests of one kind at random times, {@code perSecond} on average.
     *
     * @param atMicros when they begin
     * @param forMicros how long they go on
     * @param perSecond mean rate
     * @param request what each of them sends; an idempotency key gets the number of the request appended
     */
    record Load(long atMicros, long forMicros, double perSecond, Arrival request) implements TraceLine {
        public Load {
            Validate.positive(forMicros, "forMicros");
            Validate.isTrue(perSecond > 0 && perSecond <= MAX_PER_SECOND, "perSecond: out of range");
        }
    }

    /**
     * Something fails.
     *
     * @param kind what fails
     * @param subject host, target, domain, region or link concerned; empty for the platform
     * @param forMicros how long it lasts; 0 to the end of the trace
     * @param amount how much, where the kind has a measure
     */
    record Failure(long atMicros, FaultKind kind, String subject, long forMicros, double amount) implements TraceLine {}

    /**
     * An operator sends a release note.
     *
     * @param operator who sends it
     * @param change what it declares
     */
    record Release(long atMicros, String operator, Change change) implements TraceLine {}

    /**
     * A stated outcome, checked at the end.
     *
     * @param measure what is stated
     * @param subject team, service or reason that it is about; empty for all
     * @param atLeast smallest value allowed
     * @param atMost largest value allowed
     */
    record Expectation(Measure measure, String subject, double atLeast, double atMost) implements TraceLine {
        @Override
        public long atMicros() {
            return Long.MAX_VALUE;
        }
    }
}
