package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.knapweedhatch.message.Outgoing;

/** Answers requests for loans of one limit, and those that could not be met once there is something to lend. */
final class Lender {

    private static final long PENDING_TTL_NANOS = Duration.ofMillis(500).toNanos();
    private static final double SATISFIED_FRACTION = 0.9;

    private record PendingRequest(LoanRequest request, long receivedAt) {}

    private final TokenBucket bucket;
    private final LimitSettings settings;
    private final LongSupplier clock;
    private final LongSupplier loanIds;
    private final Map<String, PendingRequest> pending = new LinkedHashMap<>();

    Lender(TokenBucket bucket, LimitSettings settings, LongSupplier clock, LongSupplier numbers) {
        this.bucket = bucket;
        this.settings = settings;
        this.clock = clock;
        this.loanIds = numbers;
    }

    Outgoing handleRequest(String peer, LoanRequest request) {
        pending.remove(peer);
        return new Outgoing(peer, lend(peer, request, clock.getAsLong()));
    }

    private LoanGrant lend(String peer, LoanRequest request, long since) {
        LoanGrant grant = bucket.lend(peer, request, settings.lease().toNanos(), loanIds.getAsLong());
        if (grant.share() < SATISFIED_FRACTION * request.share()) {
            LoanRequest rest = new LoanRequest(
                    request.id(),
                    request.incarnation(),
                    request.limit(),
                    request.renews(),
                    request.share() - grant.share());
            pending.put(peer, new PendingRequest(rest, since));
        }
        return grant;
    }

    /** Lends what has come free to those whose late requests were not met. */
    List<Outgoing> retryPending() {
        if (pending.isEmpty()) {
            return List.of();
        }
        long now = clock.getAsLong();
        List<Outgoing> out = new ArrayList<>();
        for (Map.Entry<String, PendingRequest> e : new LinkedHashMap<>(pending).entrySet()) {
            pending.remove(e.getKey());
            if (now - e.getValue().receivedAt() <= PENDING_TTL_NANOS) {
                LoanGrant grant =
                        lend(e.getKey(), e.getValue().request(), e.getValue().receivedAt());
                if (grant.share() > 0) {
                    out.add(new Outgoing(e.getKey(), grant));
                }
            }
        }
        return out;
    }

    List<Outgoing> handleRelease(String peer, LoanRelease release) {
        bucket.acceptRelease(peer, release.loan(), release.share(), release.tokens());
        return retryPending();
    }
}
