package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.knapweedhatch.message.OutgoingMessage;

/** Answers requests for loans of one limit, and those that could not be met once there is something to lend. */
final class Lender {

    private static final long UNMET_NANOS = Duration.ofMillis(500).toNanos();
    private static final double MET = 0.9;

    private record Unmet(LoanRequest request, long at) {}

    private final Bucket bucket;
    private final LimitSettings settings;
    private final LongSupplier clock;
    private final LongSupplier numbers;
    private final Map<String, Unmet> unmet = new LinkedHashMap<>();

    Lender(Bucket bucket, LimitSettings settings, LongSupplier clock, LongSupplier numbers) {
        this.bucket = bucket;
        this.settings = settings;
        this.clock = clock;
        this.numbers = numbers;
    }

    OutgoingMessage answer(String peer, LoanRequest request) {
        unmet.remove(peer);
        return new OutgoingMessage(peer, lend(peer, request, clock.getAsLong()));
    }

    private LoanGrant lend(String peer, LoanRequest request, long since) {
        LoanGrant grant = bucket.lend(peer, request, settings.lease().toNanos(), numbers.getAsLong());
        if (grant.share() < MET * request.share()) {
            LoanRequest rest = new LoanRequest(
                    request.id(),
                    request.incarnation(),
                    request.limit(),
                    request.renews(),
                    request.share() - grant.share());
            unmet.put(peer, new Unmet(rest, since));
        }
        return grant;
    }

    /** Lends what has come free to those whose late requests were not met. */
    List<OutgoingMessage> retry() {
        if (unmet.isEmpty()) {
            return List.of();
        }
        long now = clock.getAsLong();
        List<OutgoingMessage> out = new ArrayList<>();
        for (Map.Entry<String, Unmet> e : new LinkedHashMap<>(unmet).entrySet()) {
            unmet.remove(e.getKey());
            if (now - e.getValue().at() <= UNMET_NANOS) {
                LoanGrant grant =
                        lend(e.getKey(), e.getValue().request(), e.getValue().at());
                if (grant.share() > 0) {
                    out.add(new OutgoingMessage(e.getKey(), grant));
                }
            }
        }
        return out;
    }

    List<OutgoingMessage> released(String peer, LoanRelease release) {
        bucket.takeBack(peer, release.loan(), release.share(), release.tokens());
        return retry();
    }
}
