package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.knapweedhatch.message.OutgoingMessage;

/**
 * Answers loan requests for one limit. A request that is not met in full stays pending for a short time and gets
 * another grant once there is more to lend. Not thread-safe; {@link Limiter} holds its lock around each call.
 */
final class Lender {

    private static final long PENDING_TTL_NANOS = Duration.ofMillis(500).toNanos();
    /** Fraction of the requested share from which a request counts as met. */
    private static final double SATISFIED_FRACTION = 0.9;

    private record PendingRequest(LoanRequest request, long receivedAt) {}

    private final TokenBucket bucket;
    private final LimitSettings settings;
    private final LongSupplier clock;
    private final LongSupplier loanIds;
    private final Map<String, PendingRequest> pending = new LinkedHashMap<>();

    Lender(TokenBucket bucket, LimitSettings settings, LongSupplier clock, LongSupplier loanIds) {
        this.bucket = bucket;
        this.settings = settings;
        this.clock = clock;
        this.loanIds = loanIds;
    }

    /** Returns the grant that answers a request; it replaces an earlier pending request of the same host. */
    OutgoingMessage handleRequest(String peer, LoanRequest request) {
        pending.remove(peer);
        return new OutgoingMessage(peer, lend(peer, request, clock.getAsLong()));
    }

    private LoanGrant lend(String peer, LoanRequest request, long receivedAt) {
        LoanGrant grant = bucket.lend(peer, request, settings.lease().toNanos(), loanIds.getAsLong());
        if (grant.share() < SATISFIED_FRACTION * request.share()) {
            LoanRequest remainder = new LoanRequest(
                    request.id(),
                    request.incarnation(),
                    request.limit(),
                    request.renews(),
                    request.share() - grant.share());
            pending.put(peer, new PendingRequest(remainder, receivedAt));
        }
        return grant;
    }

    /** Returns grants for pending requests that can be met by now, at least in part. */
    List<OutgoingMessage> retryPending() {
        if (pending.isEmpty()) {
            return List.of();
        }
        long now = clock.getAsLong();
        List<OutgoingMessage> out = new ArrayList<>();
        for (Map.Entry<String, PendingRequest> e : new LinkedHashMap<>(pending).entrySet()) {
            pending.remove(e.getKey());
            if (now - e.getValue().receivedAt() <= PENDING_TTL_NANOS) {
                LoanGrant grant =
                        lend(e.getKey(), e.getValue().request(), e.getValue().receivedAt());
                if (grant.share() > 0) {
                    out.add(new OutgoingMessage(e.getKey(), grant));
                }
            }
        }
        return out;
    }

    /** Takes back a released share and returns grants for pending requests. */
    List<OutgoingMessage> handleRelease(String peer, LoanRelease release) {
        bucket.acceptRelease(peer, release.loan(), release.share(), release.tokens());
        return retryPending();
    }
}
