package org.knapweedhatch.edge;

import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.limit.Admission;
import org.knapweedhatch.limit.LimitId;
import org.knapweedhatch.limit.RefusalReason;

/** Admits requests against their team's limit; a request whose budget is on its way waits a little for it. */
final class TeamLimits {

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);
    private static final Duration SHORTEST_WAIT = Duration.ofMillis(1);
    private static final int MOST_WAITING = 2_000;

    private final HostContext host;
    private final AtomicInteger waiting = new AtomicInteger();

    TeamLimits(HostContext host) {
        this.host = host;
    }

    /** Runs one of the two continuations, at once or on the exchange's I/O thread. */
    void admit(
            HttpServerExchange exchange, String team, Duration timeout, Runnable admitted, Consumer<Refusal> refused) {
        LimitId limit = LimitId.team(team);
        Admission first = host.limiter().admit(limit, 1);
        if (first instanceof Admission.Refused no) {
            long giveUp = host.time().nanos()
                    + shorter(timeout.dividedBy(2), LONGEST_WAIT).toNanos();
            new Waiting(exchange, limit, giveUp, admitted, refused).onRefused(no);
        } else {
            admitted.run();
        }
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /** One request that waits for budget. */
    private final class Waiting {
        private final HttpServerExchange exchange;
        private final LimitId limit;
        private final long giveUpNanos;
        private final Runnable admitted;
        private final Consumer<Refusal> refused;

        Waiting(
                HttpServerExchange exchange,
                LimitId limit,
                long giveUpNanos,
                Runnable admitted,
                Consumer<Refusal> refused) {
            this.exchange = exchange;
            this.limit = limit;
            this.giveUpNanos = giveUpNanos;
            this.admitted = admitted;
            this.refused = refused;
        }

        void onRefused(Admission.Refused no) {
            Duration wait = no.retryAfter().compareTo(SHORTEST_WAIT) < 0 ? SHORTEST_WAIT : no.retryAfter();
            boolean inTime = host.time().nanos() + wait.toNanos() <= giveUpNanos;
            if (!inTime || waiting.get() >= MOST_WAITING || isHopeless(no.reason())) {
                refused.accept(new Refusal(reason(no.reason()), Optional.of(wait)));
                return;
            }
            waiting.incrementAndGet();
            exchange.getIoThread().executeAfter(this::again, wait.toNanos(), TimeUnit.NANOSECONDS);
        }

        private void again() {
            waiting.decrementAndGet();
            if (host.limiter().admitAgain(limit, 1) instanceof Admission.Refused no) {
                onRefused(no);
            } else {
                admitted.run();
            }
        }
    }

    private static boolean isHopeless(RefusalReason reason) {
        return reason == RefusalReason.TOO_LARGE || reason == RefusalReason.UNKNOWN_LIMIT;
    }

    private static Reason reason(RefusalReason reason) {
        return reason == RefusalReason.SPENT ? Reason.LIMITED : Reason.NO_BUDGET;
    }
}
