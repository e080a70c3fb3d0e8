package org.knapweedhatch.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.knapweedhatch.clock.TimeSource;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;

/**
 * Admits requests of teams at this host or at the holder of the team's limit.
 *
 * <pre>{@code
 * admission.acquire("crew-1").thenAccept(decision -> ...);
 * }</pre>
 *
 * <p>A request is admitted against the bucket of one host only. If the holder does not reply in time, its backup is
 * asked, and then this host's own small share decides; a token granted by a late reply is lost, never spent twice.
 *
 * <p>Thread-safe. Decisions of other hosts complete on the thread that delivers them.
 */
public final class TeamAdmission {

    /** Time for a holder to reply; twice as long as a host with a processor quota may stand still. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(200);

    /** Time for which a host that did not reply is not asked again. */
    private static final Duration SUSPECT_TIME = Duration.ofSeconds(1);

    /** Longest time for which a refusal of a holder also refuses the next requests of the team. */
    private static final Duration MAX_REFUSAL_REUSE = Duration.ofMillis(100);

    private final String self;
    private final TeamShares shares;
    private final Supplier<TeamHolders> holders;
    private final Consumer<OutgoingMessage> send;
    private final TimeSource time;
    private final Map<Long, Question> questions = new HashMap<>();
    private final Map<String, Long> suspectUntilNanos = new HashMap<>();
    private final Map<String, Refusal> refusals = new HashMap<>();
    private long lastId;
    private long asked;
    private long unanswered;

    /** A request that waits for the reply of a host. */
    private static final class Question {
        private final String team;
        private final CompletableFuture<RateDecision> decision = new CompletableFuture<>();
        private final List<String> untried;
        private String asked;
        private long dueNanos;

        Question(String team, List<String> untried) {
            this.team = team;
            this.untried = untried;
        }
    }

    /** The last refusal of a team by its holder, and until when it holds for further requests. */
    private record Refusal(RateLimitExceeded exceeded, String holder, long untilNanos) {}

    private TeamAdmission(
            String self,
            TeamShares shares,
            Supplier<TeamHolders> holders,
            Consumer<OutgoingMessage> send,
            TimeSource time) {
        this.self = self;
        this.shares = shares;
        this.holders = holders;
        this.send = send;
        this.time = time;
    }

    /** Creates the admission of the host {@code self}; {@code send} sends messages and must not block. */
    public static TeamAdmission of(
            String self,
            TeamShares shares,
            Supplier<TeamHolders> holders,
            Consumer<OutgoingMessage> send,
            TimeSource time) {
        return new TeamAdmission(
                Validate.notEmpty(self, "self"),
                Validate.notNull(shares, "shares"),
                Validate.notNull(holders, "holders"),
                Validate.notNull(send, "send"),
                Validate.notNull(time, "time"));
    }

    /** Decides on one request of a team; complete on return unless another host decides. */
    public CompletableFuture<RateDecision> acquire(String team) {
        if (!shares.isLimited(team) || holders.get().isHolder(team)) {
            return CompletableFuture.completedFuture(decideHere(team));
        }
        OutgoingMessage message;
        Question question;
        synchronized (this) {
            Refusal refusal = refusals.get(team);
            if (refusal != null && time.nanos() < refusal.untilNanos()) {
                return CompletableFuture.completedFuture(
                        new RateDecision.Refused(refusal.exceeded(), refusal.holder()));
            }
            question = new Question(team, new ArrayList<>(holders.get().candidates(team)));
            question.untried.removeIf(host -> time.nanos() < suspectUntilNanos.getOrDefault(host, Long.MIN_VALUE));
            Optional<OutgoingMessage> next = askNext(question);
            if (next.isEmpty()) {
                return CompletableFuture.completedFuture(decideHere(team));
            }
            message = next.get();
        }
        send.accept(message);
        return question.decision;
    }

    /** Registers a question for the next candidate and returns the message; empty if this host decides. */
    private Optional<OutgoingMessage> askNext(Question question) {
        if (question.untried.isEmpty() || question.untried.get(0).equals(self)) {
            return Optional.empty();
        }
        question.asked = question.untried.remove(0);
        question.dueNanos = time.nanos() + REPLY_TIMEOUT.toNanos();
        asked++;
        // Ids of an earlier process of this host are not used again: a late reply to it must not decide here.
        lastId = Math.max(lastId + 1, time.nanos());
        long id = lastId;
        questions.put(id, question);
        return Optional.of(new OutgoingMessage(question.asked, new TokenRequest(id, question.team)));
    }

    private RateDecision decideHere(String team) {
        return shares.trySpend(team)
                .<RateDecision>map(exceeded -> new RateDecision.Refused(exceeded, ""))
                .orElseGet(() -> new RateDecision.Granted(""));
    }

    /** Returns the token of a request that was not sent to any target to the host that granted it. */
    public void refund(String team, RateDecision.Granted granted) {
        if (granted.host().isEmpty()) {
            shares.refund(team);
        } else {
            send.accept(new OutgoingMessage(granted.host(), new TokenReturn(team)));
        }
    }

    /** Handles a message of another host; messages of other types are ignored. */
    public void receive(String from, PeerMessage message) {
        if (message instanceof TokenRequest request) {
            boolean decided = shares.isLimited(request.team());
            TokenReply reply = new TokenReply(request.id(), decided, shares.trySpend(request.team()));
            send.accept(new OutgoingMessage(from, reply));
        } else if (message instanceof TokenReply reply) {
            receiveReply(from, reply);
        } else if (message instanceof TokenReturn returned) {
            shares.refund(returned.team());
        }
    }

    private void receiveReply(String from, TokenReply reply) {
        Question question;
        synchronized (this) {
            suspectUntilNanos.remove(from);
            question = questions.get(reply.id());
            if (question == null || !question.asked.equals(from)) {
                return;
            }
            questions.remove(reply.id());
            reply.exceeded()
                    .ifPresent(exceeded -> refusals.put(
                            question.team, new Refusal(exceeded, from, time.nanos() + reuseNanos(exceeded))));
        }
        question.decision.complete(reply.decided() ? decisionOf(from, reply) : decideHere(question.team));
    }

    private static RateDecision decisionOf(String holder, TokenReply reply) {
        return reply.exceeded()
                .<RateDecision>map(exceeded -> new RateDecision.Refused(exceeded, holder))
                .orElseGet(() -> new RateDecision.Granted(holder));
    }

    private static long reuseNanos(RateLimitExceeded exceeded) {
        return Math.min(exceeded.retryAfter().toNanos(), MAX_REFUSAL_REUSE.toNanos());
    }

    /** Handles questions without a reply; to be called several times a second. */
    public void tick() {
        List<Question> overdue = new ArrayList<>();
        List<OutgoingMessage> messages = new ArrayList<>();
        synchronized (this) {
            long now = time.nanos();
            questions.values().removeIf(question -> {
                boolean due = now >= question.dueNanos;
                if (due) {
                    overdue.add(question);
                }
                return due;
            });
            unanswered += overdue.size();
            overdue.forEach(question -> suspectUntilNanos.put(question.asked, now + SUSPECT_TIME.toNanos()));
            overdue.removeIf(question -> {
                Optional<OutgoingMessage> next = askNext(question);
                next.ifPresent(messages::add);
                return next.isPresent();
            });
            suspectUntilNanos.values().removeIf(until -> until <= now);
            refusals.values().removeIf(refusal -> refusal.untilNanos() <= now);
        }
        messages.forEach(send);
        overdue.forEach(question -> question.decision.complete(decideHere(question.team)));
    }

    /** Returns the number of questions sent to other hosts since the start. */
    public synchronized long asked() {
        return asked;
    }

    /** Returns the number of questions that were not answered in time since the start. */
    public synchronized long unanswered() {
        return unanswered;
    }
}
