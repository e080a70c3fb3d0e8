package org.knapweedhatch.answer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.knapweedhatch.answer.ClaimMessage.Verdict;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.steer.Rendezvous;
import org.knapweedhatch.steer.Roster;

/**
 * Claims idempotency keys by majority vote, so that a key's request runs at most once across all hosts.
 *
 * <p>Each key has three replicas in three failure domains, and in three regions if there are as many. A claim is
 * granted when a majority of them has recorded it under the same roster. A request whose key cannot be claimed is
 * refused as not run. Claims are held in memory: a restarted process votes only once it knows the claims made before
 * its start.
 *
 * <p>All methods may be called from any thread.
 *
 * <pre>{@code
 * Result result = claims.claim(request, key, deadlineNanos);
 * send(result.messages());
 * result.decisions().forEach(this::decide);
 * }</pre>
 */
public final class IdempotencyClaims {

    /** Longest wait for votes on a claim. */
    static final Duration VOTE_TIMEOUT = Duration.ofMillis(600);

    private static final int REPLICA_COUNT = 3;
    private static final int CLAIMS_PER_PART = 200;
    private static final int RELEASE_RESENDS = 4;
    private static final long RESEND_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();
    private static final long COPY_REQUEST_INTERVAL_NANOS =
            Duration.ofMillis(500).toNanos();
    private static final double CLOCK_DRIFT = 0.01;

    private final String self;
    private final long incarnation;
    private final TimeSource time;
    private final ClaimStore store = new ClaimStore();
    private final ClaimReadiness readiness;
    private final Map<Long, OwnClaim> ownClaims = new LinkedHashMap<>();
    private final Map<String, Long> requestsByKey = new HashMap<>();
    private final Map<Claimant, PendingRelease> pendingReleases = new LinkedHashMap<>();
    private Roster roster;
    private long lastResendNanos;
    private long lastCopyRequestNanos = Long.MIN_VALUE / 2;

    /** A claim by a request of this host, being voted on or granted. */
    private static final class OwnClaim {
        private final String key;
        private final long expiresNanos;
        private long roster;
        private List<String> replicas;
        private final Set<String> granted = new HashSet<>();
        private final Set<String> denied = new HashSet<>();
        private final Set<String> contacted = new HashSet<>();
        private boolean decided;

        OwnClaim(String key, long untilNanos) {
            this.key = key;
            this.expiresNanos = untilNanos;
        }

        /** Restarts the vote under a newer roster and discards the votes received under an earlier one. */
        void restart(Roster next) {
            roster = next.number();
            replicas = replicas(key, next);
            contacted.addAll(replicas);
            granted.clear();
            denied.clear();
        }

        int majority() {
            return replicas.size() / 2 + 1;
        }
    }

    /** A release message that is resent because any single one may be lost. */
    private record PendingRelease(String key, Collection<String> replicas, int remainingSends) {}

    /**
     * The result of an event.
     *
     * @param messages messages to send to other hosts
     * @param decisions decisions on claims of this host
     */
    public record Result(List<OutgoingMessage> messages, List<Decision> decisions) {
        static final Result EMPTY = new Result(List.of(), List.of());
    }

    /**
     * The decision on a claim.
     *
     * @param request number of the claiming request
     * @param verdict granted, or why not
     * @param response the stored response for the key, if any
     */
    public record Decision(long request, Verdict verdict, Optional<StoredResponse> response) {}

    private IdempotencyClaims(String self, long incarnation, boolean noEarlierClaims, TimeSource time) {
        this.self = Validate.notEmpty(self, "self");
        this.incarnation = incarnation;
        this.time = Validate.notNull(time, "time");
        long retentionNanos = (long) (ClaimStore.RETENTION.toNanos() * (1 + 2 * CLOCK_DRIFT));
        readiness = new ClaimReadiness(self, noEarlierClaims, retentionNanos);
    }

    /**
     * Creates the claims of a process.
     *
     * @param self name of this host
     * @param incarnation incarnation of this process
     * @param noEarlierClaims true only if it is certain that no host of the deployment ever recorded a claim
     * @param time clock
     */
    public static IdempotencyClaims of(String self, long incarnation, boolean noEarlierClaims, TimeSource time) {
        return new IdempotencyClaims(self, incarnation, noEarlierClaims, time);
    }

    /** Adopts a roster; one with a lower or equal number is ignored. */
    public synchronized void adopt(Roster next) {
        if (roster == null || next.number() > roster.number()) {
            roster = next;
            readiness.adopt(next, time.nanos());
        }
    }

    /** Returns the names of the hosts that record a key's claim under a roster. */
    static List<String> replicas(String key, Roster roster) {
        List<Roster.Entry> ranked =
                Rendezvous.order("claim:" + key, roster.entries().values(), Roster.Entry::host);
        List<Roster.Entry> chosen = new ArrayList<>();
        addDistinct(ranked, chosen, Roster.Entry::region);
        addDistinct(ranked, chosen, Roster.Entry::domain);
        addDistinct(ranked, chosen, Roster.Entry::host);
        return chosen.stream().map(Roster.Entry::host).toList();
    }

    private static void addDistinct(
            List<Roster.Entry> ranked, List<Roster.Entry> chosen, Function<Roster.Entry, String> place) {
        for (Roster.Entry entry : ranked) {
            boolean distinct = chosen.stream().noneMatch(c -> place.apply(c).equals(place.apply(entry)));
            if (distinct && chosen.size() < REPLICA_COUNT) {
                chosen.add(entry);
            }
        }
    }

    /** Claims a key for a request of this host; the decision follows in this or in a later result. */
    public synchronized Result claim(long request, String key, long deadlineNanos) {
        if (roster == null) {
            return decided(request, Verdict.UNPROVED, Optional.empty());
        }
        if (requestsByKey.containsKey(key)) {
            return decided(request, Verdict.PENDING, Optional.empty());
        }
        long until = Math.min(deadlineNanos, time.nanos() + VOTE_TIMEOUT.toNanos());
        OwnClaim ownClaim = new OwnClaim(key, until);
        ownClaim.restart(roster);
        ownClaims.put(request, ownClaim);
        requestsByKey.put(key, request);
        return requestVotes(request, ownClaim);
    }

    private static Result decided(long request, Verdict verdict, Optional<StoredResponse> response) {
        return new Result(List.of(), List.of(new Decision(request, verdict, response)));
    }

    private Claimant claimant(long request) {
        return new Claimant(self, incarnation, request);
    }

    private Result requestVotes(long request, OwnClaim ownClaim) {
        List<OutgoingMessage> messages = new ArrayList<>();
        List<Decision> decisions = new ArrayList<>();
        ClaimMessage.VoteRequest ask = new ClaimMessage.VoteRequest(ownClaim.roster, ownClaim.key, claimant(request));
        for (String replica : ownClaim.replicas) {
            if (ownClaim.granted.contains(replica) || ownClaim.denied.contains(replica)) {
                continue;
            }
            if (replica.equals(self)) {
                Result result = countVote(self, vote(ask));
                messages.addAll(result.messages());
                decisions.addAll(result.decisions());
            } else {
                messages.add(new OutgoingMessage(replica, ask));
            }
        }
        return new Result(messages, decisions);
    }

    private ClaimMessage.Vote vote(ClaimMessage.VoteRequest request) {
        long now = time.nanos();
        store.expire(now);
        boolean canVote =
                roster != null && request.roster() == roster.number() && readiness.canVoteOn(request.key(), now);
        Verdict verdict = canVote ? store.claim(request.key(), request.claimant(), now) : Verdict.UNPROVED;
        Optional<StoredResponse> response =
                verdict == Verdict.ANSWERED ? store.storedResponse(request.key()) : Optional.empty();
        return new ClaimMessage.Vote(request.roster(), request.key(), request.claimant(), verdict, response);
    }

    private Result countVote(String from, ClaimMessage.Vote vote) {
        long request = vote.claimant().request();
        OwnClaim ownClaim = ownClaims.get(request);
        boolean own = claimant(request).equals(vote.claimant());
        if (!own
                || ownClaim == null
                || ownClaim.decided
                || !ownClaim.replicas.contains(from)
                || ownClaim.roster != vote.roster()) {
            return Result.EMPTY;
        }
        if (vote.verdict() == Verdict.GRANTED) {
            ownClaim.granted.add(from);
            if (ownClaim.granted.size() < ownClaim.majority()) {
                return Result.EMPTY;
            }
            ownClaim.decided = true;
            return decided(request, Verdict.GRANTED, Optional.empty());
        }
        if (vote.verdict() == Verdict.ANSWERED) {
            return releaseAndDecide(request, Verdict.ANSWERED, vote.response());
        }
        if (vote.verdict() == Verdict.PENDING) {
            ownClaim.denied.add(from);
        }
        boolean majorityDenied = ownClaim.replicas.size() - ownClaim.denied.size() < ownClaim.majority();
        return majorityDenied ? releaseAndDecide(request, Verdict.PENDING, Optional.empty()) : Result.EMPTY;
    }

    private Result releaseAndDecide(long request, Verdict verdict, Optional<StoredResponse> response) {
        return new Result(release(request), List.of(new Decision(request, verdict, response)));
    }

    /** Records that a claiming request was answered; {@code response} is empty if it is too large to store. */
    public synchronized List<OutgoingMessage> answered(long request, Optional<StoredResponse> response) {
        OwnClaim ownClaim = remove(request);
        if (ownClaim == null) {
            return List.of();
        }
        ClaimMessage.Answered message = new ClaimMessage.Answered(ownClaim.key, claimant(request), response);
        if (ownClaim.contacted.contains(self)) {
            receive(self, message);
        }
        return toOtherHosts(ownClaim.contacted, message);
    }

    /** Releases the claim of a request that did not run and will not run. */
    public synchronized List<OutgoingMessage> release(long request) {
        OwnClaim ownClaim = remove(request);
        if (ownClaim == null) {
            return List.of();
        }
        ClaimMessage.Release message = new ClaimMessage.Release(ownClaim.key, claimant(request));
        if (ownClaim.contacted.contains(self)) {
            receive(self, message);
        }
        pendingReleases.put(claimant(request), new PendingRelease(ownClaim.key, ownClaim.contacted, RELEASE_RESENDS));
        return toOtherHosts(ownClaim.contacted, message);
    }

    /** Drops a claim locally but leaves it recorded at the replicas, because its request may have run. */
    public synchronized void abandon(long request) {
        remove(request);
    }

    private OwnClaim remove(long request) {
        OwnClaim ownClaim = ownClaims.remove(request);
        if (ownClaim != null) {
            requestsByKey.remove(ownClaim.key);
        }
        return ownClaim;
    }

    private List<OutgoingMessage> toOtherHosts(Collection<String> hosts, ClaimMessage message) {
        return hosts.stream()
                .filter(host -> !host.equals(self))
                .map(host -> new OutgoingMessage(host, message))
                .toList();
    }

    /** Processes a message from another host. */
    public synchronized Result receive(String from, ClaimMessage message) {
        long now = time.nanos();
        if (message instanceof ClaimMessage.VoteRequest ask) {
            return new Result(List.of(new OutgoingMessage(from, vote(ask))), List.of());
        }
        if (message instanceof ClaimMessage.Vote vote) {
            return countVote(from, vote);
        }
        if (message instanceof ClaimMessage.Answered answered) {
            store.recordAnswered(answered.key(), answered.claimant(), answered.response(), now);
        } else if (message instanceof ClaimMessage.Release release) {
            store.release(release.key(), release.claimant(), now);
        } else if (message instanceof ClaimMessage.CopyRequest ask) {
            return new Result(copyFor(from, ask, now), List.of());
        } else if (message instanceof ClaimMessage.CopyPart copy && isCurrent(copy.roster())) {
            copy.claims().forEach(claim -> store.merge(claim, now));
            readiness.copiedFrom(from, copy);
        }
        return Result.EMPTY;
    }

    private boolean isCurrent(long number) {
        return roster != null && roster.number() == number;
    }

    private List<OutgoingMessage> copyFor(String requester, ClaimMessage.CopyRequest request, long now) {
        if (!isCurrent(request.roster()) || !readiness.canServeCopies(now)) {
            return List.of();
        }
        List<ClaimMessage.ClaimCopy> claims = store.unreleasedClaims(now).stream()
                .filter(claim -> replicas(claim.key(), roster).contains(requester))
                .toList();
        boolean settled = readiness.isCaughtUp(now);
        int parts = Math.max(1, (claims.size() + CLAIMS_PER_PART - 1) / CLAIMS_PER_PART);
        List<OutgoingMessage> messages = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int end = Math.min(claims.size(), (part + 1) * CLAIMS_PER_PART);
            messages.add(new OutgoingMessage(
                    requester,
                    new ClaimMessage.CopyPart(
                            request.roster(),
                            request.id(),
                            settled,
                            part,
                            parts,
                            claims.subList(part * CLAIMS_PER_PART, end))));
        }
        return messages;
    }

    /**
     * Resends messages that may have been lost and decides claims whose vote timed out. Call every few milliseconds.
     */
    public synchronized Result tick() {
        long now = time.nanos();
        List<OutgoingMessage> messages = new ArrayList<>();
        List<Decision> decisions = new ArrayList<>();
        boolean resend = now - lastResendNanos >= RESEND_INTERVAL_NANOS;
        for (Map.Entry<Long, OwnClaim> entry : List.copyOf(ownClaims.entrySet())) {
            OwnClaim ownClaim = entry.getValue();
            if (ownClaim.decided || ownClaim.expiresNanos > now && !resend) {
                continue;
            }
            Verdict denial = ownClaim.denied.isEmpty() ? Verdict.UNPROVED : Verdict.PENDING;
            if (ownClaim.roster != roster.number()) {
                ownClaim.restart(roster);
            }
            Result result = ownClaim.expiresNanos <= now
                    ? releaseAndDecide(entry.getKey(), denial, Optional.empty())
                    : requestVotes(entry.getKey(), ownClaim);
            messages.addAll(result.messages());
            decisions.addAll(result.decisions());
        }
        if (resend) {
            lastResendNanos = now;
            messages.addAll(resends(now));
        }
        return new Result(messages, decisions);
    }

    private List<OutgoingMessage> resends(long now) {
        List<OutgoingMessage> messages = new ArrayList<>();
        store.expire(now);
        if (roster != null && now - lastCopyRequestNanos >= COPY_REQUEST_INTERVAL_NANOS) {
            lastCopyRequestNanos = now;
            ClaimMessage.CopyRequest ask = new ClaimMessage.CopyRequest(roster.number(), now);
            readiness.hostsToCopyFrom(now).forEach(host -> messages.add(new OutgoingMessage(host, ask)));
        }
        Iterator<Map.Entry<Claimant, PendingRelease>> releases =
                pendingReleases.entrySet().iterator();
        while (releases.hasNext()) {
            Map.Entry<Claimant, PendingRelease> entry = releases.next();
            PendingRelease departure = entry.getValue();
            ClaimMessage.Release message = new ClaimMessage.Release(departure.key(), entry.getKey());
            messages.addAll(toOtherHosts(departure.replicas(), message));
            if (departure.remainingSends() == 1) {
                releases.remove();
            } else {
                entry.setValue(
                        new PendingRelease(departure.key(), departure.replicas(), departure.remainingSends() - 1));
            }
        }
        return messages;
    }
}
