package org.knapweedhatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.knapweedhatch.message.OutgoingMessage;

/**
 * Requests loans of one limit from other hosts, in rounds, and applies the grants. Not thread-safe; {@link Limiter}
 * holds its lock around each call.
 */
final class Borrower {

    private static final long FORECAST_HORIZON_NANOS = Duration.ofMillis(700).toNanos();
    private static final long ANSWER_TIMEOUT_NANOS = Duration.ofMillis(250).toNanos();
    private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(50).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofMillis(400).toNanos();
    /** Backoff from which a loan is no longer expected soon, so refused callers are not told to retry early. */
    private static final long LOAN_UNLIKELY_BACKOFF_NANOS =
            Duration.ofMillis(200).toNanos();

    private static final long HINT_TTL_NANOS = Duration.ofMillis(300).toNanos();
    /** Fraction of the share requested in a round that must be granted, or the next round backs off. */
    private static final double MIN_GRANTED_FRACTION = 0.1;

    private static final double MIN_REQUEST_SHARE = 2e-3;
    private static final int MAX_LENDERS = 8;
    /** Lenders are asked until their expected spare share is this many times the missing share. */
    private static final double SPARE_MARGIN = 2;

    private record SpareHint(double spare, long receivedAt) {}

    private record SentRequest(String peer, long sentAt, Set<Long> grantedLoanIds) {}

    private final LimitId limit;
    private final TokenBucket bucket;
    private final long incarnation;
    private final LimitSettings settings;
    private final long leaseNanos;
    private final LongSupplier clock;
    private final Map<Long, SentRequest> sentRequests = new HashMap<>();
    private final Set<Long> awaitedIds = new HashSet<>();
    private final Map<String, SpareHint> hints = new HashMap<>();
    private final Map<String, Double> ownedShares = new HashMap<>();
    private long ownedVersion = -1;
    private long roundStartedAt;
    private double roundRequestedShare;
    private double roundGrantedShare;
    private long retryAt = Long.MIN_VALUE;
    private long backoff = MIN_BACKOFF_NANOS;
    private long lastId;

    Borrower(LimitId limit, TokenBucket bucket, LimitSettings settings, long incarnation, LongSupplier clock) {
        this.limit = limit;
        this.bucket = bucket;
        this.incarnation = incarnation;
        this.clock = clock;
        this.settings = settings;
        leaseNanos = settings.shortenedForDrift(settings.lease());
    }

    /**
     * Starts a round of loan requests if the bucket runs short, and returns them. Returns none while earlier requests
     * are in flight or the borrower backs off.
     *
     * @param reachable tests whether a host, by name, can be asked
     */
    List<OutgoingMessage> requestLoans(Split split, String self, Predicate<String> reachable) {
        long now = clock.getAsLong();
        sentRequests.values().removeIf(s -> now - s.sentAt() > leaseNanos);
        if (!awaitedIds.isEmpty() && now - roundStartedAt > ANSWER_TIMEOUT_NANOS) {
            endRound(now);
        }
        if (!awaitedIds.isEmpty() || now < retryAt) {
            return List.of();
        }
        Shortage shortage = bucket.shortage(FORECAST_HORIZON_NANOS);
        Map<String, Double> requested = shortage.isNone()
                ? Map.of()
                : requestedShares(shortage, likelyLenders(shortage, split, self, now, reachable));
        boolean hasLender = split.ownersOf(limit).stream().anyMatch(owner -> !owner.equals(self));
        bucket.expectLoan(hasLender && backoff < LOAN_UNLIKELY_BACKOFF_NANOS);
        if (requested.isEmpty() && !shortage.isNone()) {
            retryAt = now + MIN_BACKOFF_NANOS;
        }
        return createRequests(shortage, requested, now);
    }

    private List<OutgoingMessage> createRequests(Shortage shortage, Map<String, Double> requested, long now) {
        roundStartedAt = now;
        roundRequestedShare = 0;
        roundGrantedShare = 0;
        List<OutgoingMessage> out = new ArrayList<>();
        requested.forEach((peer, share) -> {
            long id = ++lastId;
            sentRequests.put(id, new SentRequest(peer, now, new HashSet<>()));
            awaitedIds.add(id);
            roundRequestedShare += share;
            out.add(new OutgoingMessage(
                    peer,
                    new LoanRequest(
                            id, incarnation, limit, expiringLoan(shortage, peer).id(), share)));
        });
        return out;
    }

    private static Loan expiringLoan(Shortage shortage, String peer) {
        return shortage.expiring().stream()
                .filter(loan -> loan.peer().equals(peer))
                .max(Comparator.comparingDouble(Loan::share))
                .orElse(new Loan(peer, 0, 0, 0));
    }

    /**
     * Returns the share to request from each lender: renewals first, the rest in proportion to what each is likely to
     * have spare.
     */
    private static Map<String, Double> requestedShares(Shortage shortage, Map<String, Double> lenders) {
        Map<String, Double> requested = new HashMap<>();
        double expiringShare =
                shortage.expiring().stream().mapToDouble(Loan::share).sum();
        double renewed = Math.min(expiringShare, shortage.share());
        for (Loan loan : shortage.expiring()) {
            requested.merge(loan.peer(), loan.share() * renewed / expiringShare, Double::sum);
        }
        double remainder = shortage.share() - renewed;
        double expected =
                lenders.values().stream().mapToDouble(Double::doubleValue).sum();
        if (remainder > 0 && expected > 0) {
            lenders.forEach((peer, spare) -> requested.merge(peer, remainder * spare / expected, Double::sum));
        }
        requested.values().removeIf(share -> share < MIN_REQUEST_SHARE);
        return requested;
    }

    /** Returns the lenders to ask with the spare share expected of each: the latest hint, or the owned share. */
    private Map<String, Double> likelyLenders(
            Shortage shortage, Split split, String self, long now, Predicate<String> reachable) {
        hints.values().removeIf(hint -> now - hint.receivedAt() > HINT_TTL_NANOS);
        Map<String, Double> expectedSpare = new HashMap<>(ownedShares(split));
        hints.forEach((peer, hint) -> expectedSpare.put(peer, hint.spare()));
        List<Map.Entry<String, Double>> byExpectedSpare = expectedSpare.entrySet().stream()
                .filter(e -> !e.getKey().equals(self) && e.getValue() > 0 && reachable.test(e.getKey()))
                .sorted(Map.Entry.<String, Double>comparingByValue()
                        .reversed()
                        .thenComparing(e -> Voters.hash(self + now, e.getKey())))
                .limit(MAX_LENDERS)
                .toList();
        Map<String, Double> chosen = new HashMap<>();
        double sum = 0;
        for (Map.Entry<String, Double> e : byExpectedSpare) {
            if (sum < SPARE_MARGIN * shortage.share()) {
                chosen.put(e.getKey(), e.getValue());
                sum += e.getValue();
            }
        }
        return chosen;
    }

    private Map<String, Double> ownedShares(Split split) {
        if (split.version() != ownedVersion) {
            ownedVersion = split.version();
            ownedShares.clear();
            split.ownersOf(limit).forEach(owner -> ownedShares.put(owner, split.share(limit, owner)));
        }
        return ownedShares;
    }

    /** Applies a grant; one for an unknown or too old request, or one received before, is ignored. */
    void handleGrant(String from, LoanGrant grant) {
        SentRequest request = sentRequests.get(grant.id());
        if (request == null
                || grant.incarnation() != incarnation
                || !request.peer().equals(from)) {
            return;
        }
        long now = clock.getAsLong();
        if (grant.share() > 0 && request.grantedLoanIds().add(grant.loan())) {
            long lease = Math.min(leaseNanos, settings.shortenedForDrift(Duration.ofNanos(grant.leaseNanos())));
            Loan loan = new Loan(from, grant.loan(), grant.share(), request.sentAt() + lease);
            bucket.addBorrowedLoan(loan, grant.renews(), grant.tokens());
            roundGrantedShare += grant.share();
        }
        hints.put(from, new SpareHint(grant.spare(), now));
        if (awaitedIds.remove(grant.id()) && awaitedIds.isEmpty()) {
            endRound(now);
        }
    }

    /** Returns the messages that give back borrowed shares for which there is no demand any more. */
    List<OutgoingMessage> releaseSurplus() {
        return bucket.releaseSurplus().stream()
                .map(s -> new OutgoingMessage(
                        s.peer(), new LoanRelease(++lastId, incarnation, limit, s.loan(), s.share(), s.tokens())))
                .toList();
    }

    private void endRound(long now) {
        awaitedIds.clear();
        if (roundGrantedShare < MIN_GRANTED_FRACTION * roundRequestedShare) {
            retryAt = now + backoff;
            bucket.expectLoan(backoff < LOAN_UNLIKELY_BACKOFF_NANOS);
            backoff = Math.min(2 * backoff, MAX_BACKOFF_NANOS);
        } else {
            backoff = MIN_BACKOFF_NANOS;
        }
    }
}
