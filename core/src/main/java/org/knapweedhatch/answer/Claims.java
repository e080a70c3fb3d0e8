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
import org.knapweedhatch.message.Outgoing;
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
public final class Claims {

    /** How long votes are waited for. */
    static final Duration TIMEOUT = Duration.ofMillis(600);

    private static final int REPLICAS = 3;
    private static final int PART_SIZE = 200;
    private static final int RELEASES = 4;
    private static final long REPEAT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long COPY_NANOS = Duration.ofMillis(500).toNanos();
    private static final double CLOCK_DRIFT = 0.01;

    private final String self;
    private final long incarnation;
    private final TimeSource time;
    private final ClaimStore store = new ClaimStore();
    private final ClaimReadiness readiness;
    private final Map<Long, Bid> bids = new LinkedHashMap<>();
    private final Map<String, Long> bidders = new HashMap<>();
    private final Map<Claimant, Departure> releases = new LinkedHashMap<>();
    private Roster roster;
    private long lastRepeat;
    private long lastCopyAsk = Long.MIN_VALUE / 2;

    /** A claim that this host asks votes for, or holds. */
    private static final class Bid {
        private final String key;
        private final long untilNanos;
        private long roster;
        private List<String> replicas;
        private final Set<String> granted = new HashSet<>();
        private final Set<String> denied = new HashSet<>();
        private final Set<String> asked = new HashSet<>();
        private boolean decided;

        Bid(String key, long untilNanos) {
            this.key = key;
            this.untilNanos = untilNanos;
        }

        /** Begins again under a roster; votes under an earlier one count no more. */
        void restart(Roster next) {
            roster = next.number();
            replicas = replicas(key, next);
            asked.addAll(replicas);
            granted.clear();
            denied.clear();
        }

        int majority() {
            return replicas.size() / 2 + 1;
        }
    }

    /** A release that is sent several times. */
    private record Departure(String key, Collection<String> replicas, int left) {}

    /**
     * What to do after an event.
     *
     * @param messages messages to send
     * @param verdicts claims that are decided
     */
    public record Step(List<Outgoing> messages, List<Decision> verdicts) {
        static final Step NOTHING = new Step(List.of(), List.of());
    }

    /**
     * A decided claim: granted, or the reason why not.
     *
     * @param request the claiming request
     * @param verdict what became of it
     * @param answer the answer kept for the key, where there is one
     */
    public record Decision(long request, Verdict verdict, Optional<KeptAnswer> answer) {}

    private Claims(String self, long incarnation, boolean firstFleet, TimeSource time) {
        this.self = Validate.notEmpty(self, "self");
        this.incarnation = incarnation;
        this.time = Validate.notNull(time, "time");
        long mature = (long) (ClaimStore.KEPT.toNanos() * (1 + 2 * CLOCK_DRIFT));
        readiness = new ClaimReadiness(self, firstFleet, mature);
    }

    /**
     * Creates the claims of a process; {@code firstFleet} only where it is certain that no host of the deployment ever
     * took a claim before.
     */
    public static Claims of(String self, long incarnation, boolean firstFleet, TimeSource time) {
        return new Claims(self, incarnation, firstFleet, time);
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
        pick(ranked, chosen, Roster.Entry::region);
        pick(ranked, chosen, Roster.Entry::domain);
        pick(ranked, chosen, Roster.Entry::host);
        return chosen.stream().map(Roster.Entry::host).toList();
    }

    private static void pick(
            List<Roster.Entry> ranked, List<Roster.Entry> chosen, Function<Roster.Entry, String> place) {
        for (Roster.Entry entry : ranked) {
            boolean apart = chosen.stream().noneMatch(c -> place.apply(c).equals(place.apply(entry)));
            if (apart && chosen.size() < REPLICAS) {
                chosen.add(entry);
            }
        }
    }

    /** Claims a key for a request of this host. */
    public synchronized Step claim(long request, String key, long deadlineNanos) {
        if (roster == null) {
            return decided(request, Verdict.UNPROVED, Optional.empty());
        }
        if (bidders.containsKey(key)) {
            return decided(request, Verdict.PENDING, Optional.empty());
        }
        long until = Math.min(deadlineNanos, time.nanos() + TIMEOUT.toNanos());
        Bid bid = new Bid(key, until);
        bid.restart(roster);
        bids.put(request, bid);
        bidders.put(key, request);
        return ask(request, bid);
    }

    private static Step decided(long request, Verdict verdict, Optional<KeptAnswer> answer) {
        return new Step(List.of(), List.of(new Decision(request, verdict, answer)));
    }

    private Claimant claimant(long request) {
        return new Claimant(self, incarnation, request);
    }

    private Step ask(long request, Bid bid) {
        List<Outgoing> messages = new ArrayList<>();
        List<Decision> decisions = new ArrayList<>();
        ClaimMessage.Ask ask = new ClaimMessage.Ask(bid.roster, bid.key, claimant(request));
        for (String replica : bid.replicas) {
            if (bid.granted.contains(replica) || bid.denied.contains(replica)) {
                continue;
            }
            if (replica.equals(self)) {
                Step step = count(self, vote(ask));
                messages.addAll(step.messages());
                decisions.addAll(step.verdicts());
            } else {
                messages.add(new Outgoing(replica, ask));
            }
        }
        return new Step(messages, decisions);
    }

    private ClaimMessage.Vote vote(ClaimMessage.Ask ask) {
        long now = time.nanos();
        store.expire(now);
        boolean votes = roster != null && ask.roster() == roster.number() && readiness.votesOn(ask.key(), now);
        Verdict verdict = votes ? store.claim(ask.key(), ask.claimant(), now) : Verdict.UNPROVED;
        Optional<KeptAnswer> answer = verdict == Verdict.ANSWERED ? store.answer(ask.key()) : Optional.empty();
        return new ClaimMessage.Vote(ask.roster(), ask.key(), ask.claimant(), verdict, answer);
    }

    private Step count(String from, ClaimMessage.Vote vote) {
        long request = vote.claimant().request();
        Bid bid = bids.get(request);
        boolean mine = claimant(request).equals(vote.claimant());
        if (!mine || bid == null || bid.decided || !bid.replicas.contains(from) || bid.roster != vote.roster()) {
            return Step.NOTHING;
        }
        if (vote.verdict() == Verdict.GRANTED) {
            bid.granted.add(from);
            if (bid.granted.size() < bid.majority()) {
                return Step.NOTHING;
            }
            bid.decided = true;
            return decided(request, Verdict.GRANTED, Optional.empty());
        }
        if (vote.verdict() == Verdict.ANSWERED) {
            return giveUp(request, Verdict.ANSWERED, vote.answer());
        }
        if (vote.verdict() == Verdict.PENDING) {
            bid.denied.add(from);
        }
        boolean lost = bid.replicas.size() - bid.denied.size() < bid.majority();
        return lost ? giveUp(request, Verdict.PENDING, Optional.empty()) : Step.NOTHING;
    }

    private Step giveUp(long request, Verdict verdict, Optional<KeptAnswer> answer) {
        return new Step(release(request), List.of(new Decision(request, verdict, answer)));
    }

    /** Notes that a claiming request was answered; {@code answer} where it is small enough to be kept. */
    public synchronized List<Outgoing> answered(long request, Optional<KeptAnswer> answer) {
        Bid bid = forget(request);
        if (bid == null) {
            return List.of();
        }
        ClaimMessage.Answered message = new ClaimMessage.Answered(bid.key, claimant(request), answer);
        if (bid.asked.contains(self)) {
            on(self, message);
        }
        return toOthers(bid.asked, message);
    }

    /** Gives a claim back whose request is proved not to have run and will not run. */
    public synchronized List<Outgoing> release(long request) {
        Bid bid = forget(request);
        if (bid == null) {
            return List.of();
        }
        ClaimMessage.Release message = new ClaimMessage.Release(bid.key, claimant(request));
        if (bid.asked.contains(self)) {
            on(self, message);
        }
        releases.put(claimant(request), new Departure(bid.key, bid.asked, RELEASES));
        return toOthers(bid.asked, message);
    }

    /** Keeps a claim at the replicas whose request may have run, and forgets it here. */
    public synchronized void abandon(long request) {
        forget(request);
    }

    private Bid forget(long request) {
        Bid bid = bids.remove(request);
        if (bid != null) {
            bidders.remove(bid.key);
        }
        return bid;
    }

    private List<Outgoing> toOthers(Collection<String> hosts, ClaimMessage message) {
        return hosts.stream()
                .filter(host -> !host.equals(self))
                .map(host -> new Outgoing(host, message))
                .toList();
    }

    /** Takes a message of another host in. */
    public synchronized Step on(String from, ClaimMessage message) {
        long now = time.nanos();
        if (message instanceof ClaimMessage.Ask ask) {
            return new Step(List.of(new Outgoing(from, vote(ask))), List.of());
        }
        if (message instanceof ClaimMessage.Vote vote) {
            return count(from, vote);
        }
        if (message instanceof ClaimMessage.Answered answered) {
            store.answered(answered.key(), answered.claimant(), answered.answer(), now);
        } else if (message instanceof ClaimMessage.Release release) {
            store.release(release.key(), release.claimant(), now);
        } else if (message instanceof ClaimMessage.CopyAsk ask) {
            return new Step(copyTo(from, ask, now), List.of());
        } else if (message instanceof ClaimMessage.Copy copy && isCurrent(copy.roster())) {
            copy.claims().forEach(claim -> store.merge(claim, now));
            readiness.copied(from, copy);
        }
        return Step.NOTHING;
    }

    private boolean isCurrent(long number) {
        return roster != null && roster.number() == number;
    }

    private List<Outgoing> copyTo(String asker, ClaimMessage.CopyAsk ask, long now) {
        if (!isCurrent(ask.roster()) || !readiness.gives(now)) {
            return List.of();
        }
        List<ClaimMessage.Copied> claims = store.copy(now).stream()
                .filter(claim -> replicas(claim.key(), roster).contains(asker))
                .toList();
        boolean settled = readiness.isSettled(now);
        int parts = Math.max(1, (claims.size() + PART_SIZE - 1) / PART_SIZE);
        List<Outgoing> messages = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            int end = Math.min(claims.size(), (part + 1) * PART_SIZE);
            messages.add(new Outgoing(
                    asker,
                    new ClaimMessage.Copy(
                            ask.roster(), ask.ask(), settled, part, parts, claims.subList(part * PART_SIZE, end))));
        }
        return messages;
    }

    /** Repeats what may have been lost and ends bids whose time is over; to be called every few milliseconds. */
    public synchronized Step tick() {
        long now = time.nanos();
        List<Outgoing> messages = new ArrayList<>();
        List<Decision> decisions = new ArrayList<>();
        boolean repeat = now - lastRepeat >= REPEAT_NANOS;
        for (Map.Entry<Long, Bid> entry : List.copyOf(bids.entrySet())) {
            Bid bid = entry.getValue();
            if (bid.decided || bid.untilNanos > now && !repeat) {
                continue;
            }
            Verdict denial = bid.denied.isEmpty() ? Verdict.UNPROVED : Verdict.PENDING;
            if (bid.roster != roster.number()) {
                bid.restart(roster);
            }
            Step step =
                    bid.untilNanos <= now ? giveUp(entry.getKey(), denial, Optional.empty()) : ask(entry.getKey(), bid);
            messages.addAll(step.messages());
            decisions.addAll(step.verdicts());
        }
        if (repeat) {
            lastRepeat = now;
            messages.addAll(repeated(now));
        }
        return new Step(messages, decisions);
    }

    private List<Outgoing> repeated(long now) {
        List<Outgoing> messages = new ArrayList<>();
        store.expire(now);
        if (roster != null && now - lastCopyAsk >= COPY_NANOS) {
            lastCopyAsk = now;
            ClaimMessage.CopyAsk ask = new ClaimMessage.CopyAsk(roster.number(), now);
            readiness.missing(now).forEach(host -> messages.add(new Outgoing(host, ask)));
        }
        Iterator<Map.Entry<Claimant, Departure>> left = releases.entrySet().iterator();
        while (left.hasNext()) {
            Map.Entry<Claimant, Departure> entry = left.next();
            Departure departure = entry.getValue();
            ClaimMessage.Release message = new ClaimMessage.Release(departure.key(), entry.getKey());
            messages.addAll(toOthers(departure.replicas(), message));
            if (departure.left() == 1) {
                left.remove();
            } else {
                entry.setValue(new Departure(departure.key(), departure.replicas(), departure.left() - 1));
            }
        }
        return messages;
    }
}
