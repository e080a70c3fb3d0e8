package org.knapweedhatch.message;

/** The names of the HTTP headers that callers, hosts and targets exchange. */
public final class HeaderNames {

    /** The caller's key; never leaves the entry host. */
    public static final String KEY = "Knapweedhatch-Key";

    /** Unique number of the request, made by the entry host and echoed by targets that know it. */
    public static final String REQUEST_ID = "Knapweedhatch-Request";

    /** Milliseconds that remain until the request's deadline. */
    public static final String DEADLINE_MS = "Knapweedhatch-Deadline-Ms";

    /** What became of a request that was not answered by a target: {@code not-run} or {@code unknown}. */
    public static final String OUTCOME = "Knapweedhatch-Outcome";

    /** The team, between hosts only. */
    public static final String TEAM = "Knapweedhatch-Team";

    /** The region where the request arose, between hosts only. */
    public static final String ORIGIN = "Knapweedhatch-Origin";

    /** The entry host that relays the request, between hosts only. */
    public static final String RELAYED_BY = "Knapweedhatch-Relayed-By";

    /** Proof that a host relays the request, between hosts only. */
    public static final String RELAY_PROOF = "Knapweedhatch-Relay-Proof";

    /** SHA-256 of a body, where the sender knows it. */
    public static final String DIGEST = "Knapweedhatch-Digest";

    /** Requests in flight and slots of a target, {@code n/m}. */
    public static final String LOAD = "Knapweedhatch-Load";

    /** A caller's name for an operation, so that repeats have the first outcome. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Value of {@link #OUTCOME} that promises that the request did not run. */
    public static final String NOT_RUN = "not-run";

    /** Value of {@link #OUTCOME} for a request that may have run. */
    public static final String UNKNOWN = "unknown";

    private HeaderNames() {}
}
