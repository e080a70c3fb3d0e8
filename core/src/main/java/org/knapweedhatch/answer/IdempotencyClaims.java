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
 * Claims of idempotency keys, so that a key's request runs at most once whichever hosts its caller uses.
 *
 * <p>Each key has three replicas in three failure domains, of three regions where there are as many. A claim holds when
 * a majority of them has recorded it under one roster. What can't be claimed is refused as not run. A process that kept
 * nothing votes only once it knows the claims made before it.
 *
 * <pre>{@code
 * Step step = claims.claim(request, key, deadlineNanos);
 * send(step.messages());
 * step.verdicts().forEach(this::decide);
 * }</pre>
 */
public final class IdempotencyClaims {

    /** How long votes are waited for. */
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

    /** A claim that this host asks votes for, or holds. */
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

        /** Begins again under a roster; votes under an earlier one count no more. */
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

    /** A release that is sent several times. */
    private record PendingRelease(String key, Collection<String> replicas, int remainingSends) {}

    /**
     * What to do after an event.
     *
     * @param messages messages to send
     * @param verdicts claims that are decided
     */
    public record Result(List<OutgoingMessage> messages, List<Decision> decisions) {
        static final Result EMPTY = new Result(List.of(), List.of());
    }

    /**
     * A decided claim: granted, or the reason why not.
     *
     * @param request the claiming request
     * @param verdict what became of it
     * @param answer the answer kept for the key, where there is one
     */
    public record Decision(long request, Verdict verdict, Optional<StoredResponse> answer) {}

    private IdempotencyClaims(String self, long incarnation, boolean firstFleet, TimeSource time) {
        this.self = Validate.notEmpty(self, "self");
        this.incarnation = incarnation;
        this.time = Validate.notNull(time, "time");
        long mature = (long) (ClaimStore.RETENTION.toNanos() * (1 + 2 * CLOCK_DRIFT));
        readiness = new ClaimReadiness(self, firstFleet, mature);
    }

    /**
     * Creates the claims of a process; {@code firstFleet} only where it is certain that no host of the deployment ever
     * took a claim before.
     */
    public static IdempotencyClaims of(String self, long incarnation, boolean firstFleet, TimeSource time) {
        return new IdempotencyClaims(self, incarnation, firstFleet, time);
    }

    /** Takes a roster in; an older or equal number changes nothing. */
    public synchronized void adopt(Roster next) {
        if (roster == null || next.number() > roster.number()) {
            roster = next;
            readiness.adopt(next, time.nanos());
        }
    }

    /** Returns the hosts that record a key's claim under a roster. */
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
            boolean apart = chosen.stream().noneMatch(c -> place.apply(c).equals(place.apply(entry)));
            if (apart && chosen.size() < REPLICA_COUNT) {
                chosen.add(entry);
            }
        }
    }

    /** Claims a key for a request of this host. */
    public synchronized Result claim(long request, String key, long deadlineNanos) {
        if (roster == null) {
            return decided(request, Verdict.UNPROVED, Optional.empty());
        }
        if (requestsByKey.containsKey(key)) {
            return decided(request, Verdict.PENDING, Optional.empty());
        }
        long until = Math.min(deadlineNanos, time.nanos() + VOTE_TIMEOUT.toNanos());
        OwnClaim bid = new OwnClaim(key, until);
        bid.restart(roster);
        ownClaims.put(request, bid);
        requestsByKey.put(key, request);
        return requestVotes(request, bid);
    }

    private static Result decided(long request, Verdict verdict, Optional<StoredResponse> answer) {
        return new Result(List.of(), List.of(new Decision(request, verdict, answer)));
    }

    private Claimant claimant(long request) {
        return new Claimant(self, incarnation, request);
    }

    private Result requestVotes(long request, OwnClaim bid) {
        List<OutgoingMessage> messages = new ArrayList<>();
        List<Decision> decisions = new ArrayList<>();
        ClaimMessage.VoteRequest ask = new ClaimMessage.VoteRequest(bid.roster, bid.key, claimant(request));
        for (String replica : bid.replicas) {
            if (bid.granted.contains(replica) || bid.denied.contains(replica)) {
                continue;
            }
            if (replica.equals(self)) {
                Result step = countVote(self, vote(ask));
                messages.addAll(step.messages());
                decisions.addAll(step.decisions());
            } else {
                messages.add(new OutgoingMessage(replica, ask));
            }
        }
        return new Result(messages, decisions);
    }

    private ClaimMessage.Vote vote(ClaimMessage.VoteRequest ask) {
        long now = time.nanos();
        store.expire(now);
        boolean votes = roster != null && ask.roster() == roster.number() && readiness.canVoteOn(ask.key(), now);
        Verdict verdict = votes ? store.claim(ask.key(), ask.claimant(), now) : Verdict.UNPROVED;
        Optional<StoredResponse> answer =
                verdict == Verdict.ANSWERED ? store.storedResponse(ask.key()) : Optional.empty();
        return new ClaimMessage.Vote(ask.roster(), ask.key(), ask.claimant(), verdict, answer);
    }

    private Result countVote(String from, ClaimMessage.Vote vote) {
        long request = vote.claimant().request();
        OwnClaim bid = ownClaims.get(request);
        boolean mine = claimant(request).equals(vote.claimant());
        if (!mine || bid == null || bid.decided || !bid.replicas.contains(from) || bid.roster != vote.roster()) {
            return Result.EMPTY;
        }
        if (vote.verdict() == Verdict.GRANTED) {
            bid.granted.add(from);
            if (bid.granted.size() < bid.majority()) {
                return Result.EMPTY;
            }
            bid.decided = true;
            return decided(request, Verdict.GRANTED, Optional.empty());
        }
        if (vote.verdict() == Verdict.ANSWERED) {
            return releaseAndDecide(request, Verdict.ANSWERED, vote.answer());
        }
        if (vote.verdict() == Verdict.PENDING) {
            bid.denied.add(from);
        }
        boolean lost = bid.replicas.size() - bid.denied.size() < bid.majority();
        return lost ? releaseAndDecide(request, Verdict.PENDING, Optional.empty()) : Result.EMPTY;
    }

    private Result releaseAndDecide(long request, Verdict verdict, Optional<StoredResponse> answer) {
        return new Result(release(request), List.of(new Decision(request, verdict, answer)));
    }

    /** Notes that a claiming request was answered; {@code answer} where it is small enough to be kept. */
    public synchronized List<OutgoingMessage> answered(long request, Optional<StoredResponse> answer) {
        OwnClaim bid = remove(request);
        if (bid == null) {
            return List.of();
        }
        ClaimMessage.Answered message = new ClaimMessage.Answered(bid.key, claimant(request), answer);
        if (bid.contacted.contains(self)) {
            receive(self, message);
        }
        return toOtherHosts(bid.contacted, message);
    }

    /** Gives a claim back whose request is proved not to have run and will not run. */
    public synchronized List<OutgoingMessage> release(long request) {
        OwnClaim bid = remove(request);
        if (bid == null) {
            return List.of();
        }
        ClaimMessage.Release message = new ClaimMessage.Release(bid.key, claimant(request));
        if (bid.contacted.contains(self)) {
            receive(self, message);
        }
        pendingReleases.put(claimant(request), new PendingRelease(bid.key, bid.contacted, RELEASE_RESENDS));
        return toOtherHosts(bid.contacted, message);
    }

    /** Keeps a claim at the replicas whose request may have run, and forgets it here. */
    public synchronized void abandon(long request) {
        remove(request);
    }

    private OwnClaim remove(long request) {
        OwnClaim bid = ownClaims.remove(request);
        if (bid != null) {
            requestsByKey.remove(bid.key);
        }
        return bid;
    }

    private List<OutgoingMessage> toOtherHosts(Collection<String> hosts, ClaimMessage message) {
        return hosts.stream()
                .filter(host -> !host.equals(self))
                .map(host -> new OutgoingMessage(host, message))
                .toList();
    }

    /** Takes a message of another host in. */
    public synchronized Result receive(String from, ClaimMessage message) {
        long now = time.nanos();
        if (message instanceof ClaimMessage.VoteRequest ask) {
            return new Result(List.of(new OutgoingMessage(from, vote(ask))), List.of());
        }
        if (message instanceof ClaimMessage.Vote vote) {
            return countVote(from, vote);
        }
        if (message instanceof ClaimMessage.Answered answered) {
            store.recordAnswered(answered.key(), answered.claimant(), answered.answer(), now);
        } else if (message instanceof ClaimMessage.Release release) {
            store.release(release.key(), release.claimant(), now);
        } else if (message instanceof ClaimMessage.CopyRequest ask) {
            return new Result(copyFor(from, ask, now), List.of());
        } else if (message instanceof ClaimMessage.CopyPart copy && isCurrent(copy.roster())) {
            copy.claims().forEach(claim -> store.merge(claim, now));
            readiness.copiedHosts(from, copy);
        }
        return Result.EMPTY;
    }

    private boolean isCurrent(long number) {
        return roster != null && roster.number() == number;
    }

    private List<OutgoingMessage> copyFor(String asker, ClaimMessage.CopyRequest ask, long now) {
        if (!isCurrent(ask.roster()) || !readiness.canServeCopies(now)) {
            return List.of();
        }
        List<ClaimMessage.ClaimCopy> claims = store.unreleasedClaims(now).stream()
                .filter(claim -> replicas(claim.key(), roster).contains(asker))
                .toList();
        boolean settled = readiness.isCaughtUp(now);
        int parts = Math.max(1, (claims.size() + CLAIMS_PER_PART - 1) / CLAIMS_PER_PART);
        List<OutgoingMessage> messages = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int end = Math.min(claims.size(), (part + 1) * CLAIMS_PER_PART);
            messages.add(new OutgoingMessage(
                    asker,
                    new ClaimMessage.CopyPart(
                            ask.roster(),
                            ask.id(),
                            settled,
                            part,
                            parts,
                            claims.subList(part * CLAIMS_PER_PART, end))));
        }
        return messages;
    }

    /** Repeats what may have been lost and ends bids whose time is over; to be called every few milliseconds. */
    public synchronized Result tick() {
        long now = time.nanos();
        List<OutgoingMessage> messages = new ArrayList<>();
        List<Decision> decisions = new ArrayList<>();
        boolean repeat = now - lastResendNanos >= RESEND_INTERVAL_NANOS;
        for (Map.Entry<Long, OwnClaim> entry : List.copyOf(ownClaims.entrySet())) {
            OwnClaim bid = entry.getValue();
            if (bid.decided || bid.expiresNanos > now && !repeat) {
                continue;
            }
            Verdict denial = bid.denied.isEmpty() ? Verdict.UNPROVED : Verdict.PENDING;
            if (bid.roster != roster.number()) {
                bid.restart(roster);
            }
            Result step = bid.expiresNanos <= now
                    ? releaseAndDecide(entry.getKey(), denial, Optional.empty())
                    : requestVotes(entry.getKey(), bid);
            messages.addAll(step.messages());
            decisions.addAll(step.decisions());
        }
        if (repeat) {
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
        Iterator<Map.Entry<Claimant, PendingRelease>> left =
                pendingReleases.entrySet().iterator();
        while (left.hasNext()) {
            Map.Entry<Claimant, PendingRelease> entry = left.next();
            PendingRelease departure = entry.getValue();
            ClaimMessage.Release message = new ClaimMessage.Release(departure.key(), entry.getKey());
            messages.addAll(toOtherHosts(departure.replicas(), message));
            if (departure.remainingSends() == 1) {
                left.remove();
            } else {
                entry.setValue(
                        new PendingRelease(departure.key(), departure.replicas(), departure.remainingSends() - 1));
            }
        }
        return messages;
    }
}
