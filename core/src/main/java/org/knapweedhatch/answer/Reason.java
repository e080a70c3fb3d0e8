package org.knapweedhatch.answer;

import java.util.Locale;

/** Why a request is refused. The name, in lower case with hyphens, is part of the type of the problem document. */
public enum Reason {
    /** The route requires a key, and the request has none. */
    KEY_MISSING(401, Outcome.NOT_RUN, "The route needs a key."),
    /** The key does not have the form of a key. */
    KEY_MALFORMED(400, Outcome.NOT_RUN, "The key is malformed."),
    /** The key was never in force on this host. */
    KEY_UNKNOWN(403, Outcome.NOT_RUN, "The key is not known."),
    /** The key was in force and has been withdrawn. */
    KEY_WITHDRAWN(403, Outcome.NOT_RUN, "The key has been withdrawn."),
    /** No route matches the path. */
    NO_ROUTE(404, Outcome.NOT_RUN, "No route has this path."),
    /** The request is malformed or too large. */
    MALFORMED(400, Outcome.NOT_RUN, "The request is malformed."),
    /** The head exceeds the size limit. */
    HEAD_TOO_LARGE(431, Outcome.NOT_RUN, "The head of the request is too large."),
    /** The body exceeds the size limit. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN, "The body of the request is too large."),
    /** The head did not arrive within its timeout. */
    HEAD_TOO_SLOW(408, Outcome.NOT_RUN, "The head of the request came too slowly."),
    /** The body stopped arriving for longer than a connection may be idle. */
    BODY_TOO_SLOW(408, Outcome.NOT_RUN, "The body of the request came too slowly."),
    /** The host has no memory left for the request. */
    NO_MEMORY(503, Outcome.NOT_RUN, "The host has no memory for the request."),
    /** No configuration is in force on this host yet. */
    NO_CONFIGURATION(503, Outcome.NOT_RUN, "The host has no configuration yet."),
    /** The team has exhausted its rate and burst across all hosts. */
    LIMITED(429, Outcome.NOT_RUN, "The team's rate and burst are spent."),
    /** The host cannot tell whether the team's rate is exhausted, or holds no part of the team's budget. */
    NO_BUDGET(503, Outcome.NOT_RUN, "No budget of the team is at hand."),
    /** No slot becomes free within the time that the request may wait. */
    BUSY(503, Outcome.NOT_RUN, "All slots are in use."),
    /** No target is usable within the caps on traffic shifts. */
    NO_TARGET(503, Outcome.NOT_RUN, "No target can be used."),
    /** Every target or host that was tried stated that it did not run the request. */
    SHED(503, Outcome.NOT_RUN, "The targets did not take the request."),
    /** The deadline passed before the request was sent to a target. */
    EXPIRED(504, Outcome.NOT_RUN, "The deadline passed before the request could run."),
    /** The caller disconnected before the request was sent to a target. */
    CALLER_GONE(499, Outcome.NOT_RUN, "The caller went away."),
    /** The deadline passed while a target may have run the request. */
    LATE(504, Outcome.UNKNOWN, "The answer did not come in time."),
    /** The connection was lost while a target may have run the request. */
    LOST(502, Outcome.UNKNOWN, "The answer was lost."),
    /** It could not be proved that no other request has claimed the idempotency key. */
    CLAIM_UNPROVED(503, Outcome.NOT_RUN, "The idempotency key could not be claimed."),
    /** A request with the same idempotency key is running, or its outcome is unknown. */
    CLAIM_PENDING(409, Outcome.UNKNOWN, "A request with this idempotency key has no known outcome."),
    /** A request with the same idempotency key was answered, and its response was not stored. */
    CLAIM_ANSWERED(409, Outcome.UNKNOWN, "A request with this idempotency key ran; its answer was not kept."),
    /** The host is draining and accepts no more requests. */
    LEAVING(503, Outcome.NOT_RUN, "The host leaves.");

    private final int status;
    private final Outcome outcome;
    private final String title;

    Reason(int status, Outcome outcome, String title) {
        this.status = status;
        this.outcome = outcome;
        this.title = title;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns whether the request may have run. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the title of the problem document. */
    public String title() {
        return title;
    }

    /** Returns the type of the problem document, as a URN. */
    public String type() {
        return "urn:knapweedhatch:problem:" + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
