package org.knapweedhatch.answer;

import java.util.Optional;

/** One request of a caller and its result. */
final class Call {

    /** The result of a call as its caller sees it. */
    enum End {
        ANSWERED,
        REPLAYED,
        REFUSED_NOT_RUN,
        REFUSED_UNKNOWN,
        BROKEN,
        NO_HOST
    }

    final long id;
    final String service;
    final String team;
    final String origin;
    final boolean idempotent;
    final Optional<String> key;
    final long start;
    long end;
    End outcome;
    Reason reason;

    Call(long id, String service, String team, String origin, boolean idempotent, Optional<String> key, long start) {
        this.id = id;
        this.service = service;
        this.team = team;
        this.origin = origin;
        this.idempotent = idempotent;
        this.key = key;
        this.start = start;
    }

    boolean succeeded() {
        return outcome == End.ANSWERED || outcome == End.REPLAYED;
    }
}
