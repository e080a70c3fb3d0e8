package org.knapweedhatch.answer;

import java.util.Optional;

/** An event of a request. Events of an attempt that is no longer the current one are ignored. */
public sealed interface Event {

    /** Returns the number of the request at this host. */
    long request();

    /** The request's head arrived, its key was accepted and its team's limit admitted it. */
    record Arrived(long request, AdmittedRequest admitted) implements Event {}

    /** The attempt failed before any byte of the request was written. */
    record ConnectFailed(long request, int attempt) implements Event {}

    /** The connection was lost, or the response was malformed, before the response's head was accepted. */
    record ConnectionLost(long request, int attempt) implements Event {}

    /** The target, or the host that the request was relayed to, stated that it did not run the request. */
    record ReportedNotRun(long request, int attempt) implements Event {}

    /** The host that the request was relayed to stated that it does not know whether the request ran. */
    record ReportedUnknown(long request, int attempt) implements Event {}

    /** The head of a response arrived; from now on the caller gets this response, complete or aborted. */
    record ResponseStarted(long request, int attempt) implements Event {}

    /** The response is complete; {@code response} is empty if it is too large to store for repeated requests. */
    record ResponseCompleted(long request, int attempt, Optional<StoredResponse> response) implements Event {}

    /** The response was cut off after its head. */
    record ResponseAborted(long request, int attempt) implements Event {}

    /** A target confirmed that it no longer runs an abandoned attempt. */
    record AttemptEndConfirmed(long request, int attempt, String service) implements Event {}

    /** The request's deadline passed. */
    record DeadlinePassed(long request) implements Event {}

    /** The caller disconnected. */
    record CallerGone(long request) implements Event {}
}
