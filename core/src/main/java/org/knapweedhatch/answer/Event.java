package org.knapweedhatch.answer;

import java.util.Optional;

/** Something that happened to a request. Events of an attempt that is no longer the current one change nothing. */
public sealed interface Event {

    /** Returns the number of the request at this host. */
    long request();

    /** Its head arrived, its key was checked and its team's limit admitted it. */
    record Arrived(long request, AdmittedRequest head) implements Event {}

    /** The attempt failed before a single byte of the request was written. */
    record ConnectFailed(long request, int attempt) implements Event {}

    /** The connection was lost, or the answer could not be understood, before the answer's head was accepted. */
    record ConnectionLost(long request, int attempt) implements Event {}

    /** The target, or the host it was relayed to, said that it did not run the request. */
    record ReportedNotRun(long request, int attempt) implements Event {}

    /** The host it was relayed to said that it does not know whether the request ran. */
    record ReportedUnknown(long request, int attempt) implements Event {}

    /** The head of an answer arrived; from now on the caller gets this answer or a broken one. */
    record ResponseStarted(long request, int attempt) implements Event {}

    /** The answer came to its whole end; {@code kept} where it is small enough to be kept for repeats. */
    record ResponseCompleted(long request, int attempt, Optional<StoredResponse> stored) implements Event {}

    /** The answer broke off after its head. */
    record ResponseAborted(long request, int attempt) implements Event {}

    /** A target confirmed that an abandoned attempt has ended there. */
    record AttemptEndConfirmed(long request, int attempt, String service) implements Event {}

    /** The request's deadline passed. */
    record DeadlinePassed(long request) implements Event {}

    /** The caller went away. */
    record CallerGone(long request) implements Event {}
}
