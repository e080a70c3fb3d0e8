package org.knapweedhatch.answer;

import java.util.Locale;

/** The fixed set of reasons for which a request is refused. */
public enum Reason {
    /** The route needs a key, and none came. */
    KEY_MISSING(401, Outcome.NOT_RUN, "The route needs a key."),
    /** The key has another form than keys have. */
    KEY_MALFORMED(400, Outcome.NOT_RUN, "The key is malformed."),
    /** The key never was in force here. */
    KEY_UNKNOWN(403, Outcome.NOT_RUN, "The key is not known."),
    /** The key was in force and has been withdrawn. */
    KEY_WITHDRAWN(403, Outcome.NOT_RUN, "The key has been withdrawn."),
    /** No route has the path. */
    NO_ROUTE(404, Outcome.NOT_RUN, "No route has this path."),
    /** The request is not well formed or too large. */
    MALFORMED(400, Outcome.NOT_RUN, "The request is malformed."),
    /** The head is larger than callers may send. */
    HEAD_TOO_LARGE(431, Outcome.NOT_RUN, "The head of the request is too large."),
    /** The body is larger than callers may send. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN, "The body of the request is too large."),
    /** The head did not arrive in time. */
    HEAD_TOO_SLOW(408, Outcome.NOT_RUN, "The head of the request came too slowly."),
    /** No configuration is in force on this host yet. */
    NO_CONFIGURATION(503, Outcome.NOT_RUN, "The host has no configuration yet."),
    /** The team has spent its rate and burst over all hosts. */
    LIMITED(429, Outcome.NOT_RUN, "The team's rate and burst are spent."),
    /** The host cannot tell whether the team's rate is spent, or has no budget at hand. */
    NO_BUDGET(503, Outcome.NOT_RUN, "No budget of the team is at hand."),
    /** All slots are in use for longer than the request may wait. */
    BUSY(503, Outcome.NOT_RUN, "All slots are in use."),
    /** No target can be used within the caps. */
    NO_TARGET(503, Outcome.NOT_RUN, "No target can be used."),
    /** Each target or host that was asked said that it did not run the request. */
    SHED(503, Outcome.NOT_RUN, "The targets did not take the request."),
    /** The deadline passed before the request was sent to a target. */
    EXPIRED(504, Outcome.NOT_RUN, "The deadline passed before the request could run."),
    /** The caller went away before the request was sent to a target. */
    CALLER_GONE(499, Outcome.NOT_RUN, "The caller went away."),
    /** The deadline passed while a target may have run the request. */
    LATE(504, Outcome.UNKNOWN, "The answer did not come in time."),
    /** The connection was lost while a target may have run the request. */
    LOST(502, Outcome.UNKNOWN, "The answer was lost."),
    /** It could not be proved that the idempotency key is unclaimed. */
    CLAIM_UNPROVED(503, Outcome.NOT_RUN, "The idempotency key could not be claimed."),
    /** A request with the same idempotency key runs, or its outcome is not known. */
    CLAIM_PENDING(409, Outcome.UNKNOWN, "A request with this idempotency key has no known outcome."),
    /** A request with the same idempotency key was answered, and its answer was too large to keep. */
    CLAIM_ANSWERED(409, Outcome.UNKNOWN, "A request with this idempotency key ran; its answer was not kept."),
    /** The host leaves and takes no more requests. */
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

    /** Returns what is certain about the request. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the title of the problem document. */
    public String title() {
        return title;
    }

    /** Returns the type of the problem document, a URN. */
    public String type() {
        return "urn:knapweedhatch:problem:" + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
