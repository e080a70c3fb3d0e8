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

/** Decides whom to ask for loans of one limit, and takes the grants in. */
final class Borrower {

    private static final long HORIZON_NANOS = Duration.ofMillis(700).toNanos();
    private static final long ANSWER_TIMEOUT_NANOS = Duration.ofMillis(250).toNanos();
    private static final long BACK_OFF_NANOS = Duration.ofMillis(50).toNanos();
    private static final long LONGEST_BACK_OFF_NANOS = Duration.ofMillis(400).toNanos();
    private static final long HOPELESS_NANOS = Duration.ofMillis(200).toNanos();
    private static final long HINT_NANOS = Duration.ofMillis(300).toNanos();
    private static final double POOR_ROUND = 0.1;
    private static final double SMALLEST_REQUEST = 2e-3;
    private static final int FAN_OUT = 8;
    private static final double MARGIN = 2;

    private record Hint(double spare, long at) {}

    private record Sent(String peer, long at, Set<Long> loans) {}

    private final LimitId limit;
    private final Bucket bucket;
    private final long incarnation;
    private final LimitSettings settings;
    private final long leaseNanos;
    private final LongSupplier clock;
    private final Map<Long, Sent> sent = new HashMap<>();
    private final Set<Long> awaited = new HashSet<>();
    private final Map<String, Hint> hints = new HashMap<>();
    private final Map<String, Double> ownedShares = new HashMap<>();
    private long ownedVersion = -1;
    private long roundAt;
    private double roundAsked;
    private double roundGot;
    private long retryAt = Long.MIN_VALUE;
    private long backOff = BACK_OFF_NANOS;
    private long lastId;

    Borrower(LimitId limit, Bucket bucket, LimitSettings settings, long incarnation, LongSupplier clock) {
        this.limit = limit;
        this.bucket = bucket;
        this.incarnation = incarnation;
        this.clock = clock;
        this.settings = settings;
        leaseNanos = settings.shortened(settings.lease());
    }

    /** Returns requests for what will be missing; none while earlier ones are under way. */
    List<OutgoingMessage> plan(Split split, String self, Predicate<String> reachable) {
        long now = clock.getAsLong();
        sent.values().removeIf(s -> now - s.at() > leaseNanos);
        if (!awaited.isEmpty() && now - roundAt > ANSWER_TIMEOUT_NANOS) {
            endRound(now);
        }
        if (!awaited.isEmpty() || now < retryAt) {
            return List.of();
        }
        Shortage shortage = bucket.shortage(HORIZON_NANOS);
        Map<String, Double> wishes =
                shortage.isNone() ? Map.of() : wishes(shortage, expectations(shortage, split, self, now, reachable));
        boolean hasLender = split.ownersOf(limit).stream().anyMatch(owner -> !owner.equals(self));
        bucket.expectLoan(hasLender && backOff < HOPELESS_NANOS);
        if (wishes.isEmpty() && !shortage.isNone()) {
            retryAt = now + BACK_OFF_NANOS;
        }
        return requests(shortage, wishes, now);
    }

    private List<OutgoingMessage> requests(Shortage shortage, Map<String, Double> wishes, long now) {
        roundAt = now;
        roundAsked = 0;
        roundGot = 0;
        List<OutgoingMessage> out = new ArrayList<>();
        wishes.forEach((peer, share) -> {
            long id = ++lastId;
            sent.put(id, new Sent(peer, now, new HashSet<>()));
            awaited.add(id);
            roundAsked += share;
            out.add(new OutgoingMessage(
                    peer,
                    new LoanRequest(
                            id, incarnation, limit, endingLoan(shortage, peer).id(), share)));
        });
        return out;
    }

    private static Loan endingLoan(Shortage shortage, String peer) {
        return shortage.ending().stream()
                .filter(loan -> loan.peer().equals(peer))
                .max(Comparator.comparingDouble(Loan::share))
                .orElse(new Loan(peer, 0, 0, 0));
    }

    /** Returns what each likely lender is asked for: renewals first, the rest in proportion to what it may spare. */
    private static Map<String, Double> wishes(Shortage shortage, Map<String, Double> expectations) {
        Map<String, Double> wishes = new HashMap<>();
        double ending = shortage.ending().stream().mapToDouble(Loan::share).sum();
        double renewed = Math.min(ending, shortage.share());
        for (Loan loan : shortage.ending()) {
            wishes.merge(loan.peer(), loan.share() * renewed / ending, Double::sum);
        }
        double rest = shortage.share() - renewed;
        double expected =
                expectations.values().stream().mapToDouble(Double::doubleValue).sum();
        if (rest > 0 && expected > 0) {
            expectations.forEach((peer, spare) -> wishes.merge(peer, rest * spare / expected, Double::sum));
        }
        wishes.values().removeIf(share -> share < SMALLEST_REQUEST);
        return wishes;
    }

    private Map<String, Double> expectations(
            Shortage shortage, Split split, String self, long now, Predicate<String> reachable) {
        hints.values().removeIf(hint -> now - hint.at() > HINT_NANOS);
        Map<String, Double> spares = new HashMap<>(ownedShares(split));
        hints.forEach((peer, hint) -> spares.put(peer, hint.spare()));
        List<Map.Entry<String, Double>> likely = spares.entrySet().stream()
                .filter(e -> !e.getKey().equals(self) && e.getValue() > 0 && reachable.test(e.getKey()))
                .sorted(Map.Entry.<String, Double>comparingByValue()
                        .reversed()
                        .thenComparing(e -> Electors.mix(self + now, e.getKey())))
                .limit(FAN_OUT)
                .toList();
        Map<String, Double> chosen = new HashMap<>();
        double sum = 0;
        for (Map.Entry<String, Double> e : likely) {
            if (sum < MARGIN * shortage.share()) {
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

    /** Takes a grant in; an unknown, late or repeated one is ignored. */
    void granted(String from, LoanGrant grant) {
        Sent request = sent.get(grant.id());
        if (request == null
                || grant.incarnation() != incarnation
                || !request.peer().equals(from)) {
            return;
        }
        long now = clock.getAsLong();
        if (grant.share() > 0 && request.loans().add(grant.loan())) {
            long lease = Math.min(leaseNanos, settings.shortened(Duration.ofNanos(grant.leaseNanos())));
            Loan loan = new Loan(from, grant.loan(), grant.share(), request.at() + lease);
            bucket.borrow(loan, grant.renews(), grant.tokens());
            roundGot += grant.share();
        }
        hints.put(from, new Hint(grant.spare(), now));
        if (awaited.remove(grant.id()) && awaited.isEmpty()) {
            endRound(now);
        }
    }

    /** Returns what is given back since the demand has gone. */
    List<OutgoingMessage> release() {
        return bucket.release().stream()
                .map(s -> new OutgoingMessage(
                        s.peer(), new LoanRelease(++lastId, incarnation, limit, s.loan(), s.share(), s.tokens())))
                .toList();
    }

    private void endRound(long now) {
        awaited.clear();
        if (roundGot < POOR_ROUND * roundAsked) {
            retryAt = now + backOff;
            bucket.expectLoan(backOff < HOPELESS_NANOS);
            backOff = Math.min(2 * backOff, LONGEST_BACK_OFF_NANOS);
        } else {
            backOff = BACK_OFF_NANOS;
        }
    }
}
