package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.knapweedhatch.answer.Outcome;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.place.Ask;
import org.knapweedhatch.place.Ending;
import org.knapweedhatch.place.Placement;
import org.knapweedhatch.target.KnownTarget;
import org.knapweedhatch.world.RequestKind;

/** One request of a caller, from its head to its answer. */
final class CallerRequest {

    /** The least time that is left to a target; less is not worth a try. */
    private static final Duration LEAST_LEFT = Duration.ofMillis(10);

    /** An idle connection that was used within this time carries requests that must not run twice. */
    private static final Duration FRESH = Duration.ofSeconds(2);

    /** Status of a target that is not the one the request was meant for; such a request has not run. */
    private static final int MISDIRECTED = 421;

    /** Age that no idle connection reaches. */
    private static final Duration ANY_AGE = Duration.ofDays(1);

    /** Time to wait after a refusal that comes with no forecast; the usual work of a target. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

    private final FrontServer server;
    private final FrontContext context;
    private final CallerConnection connection;
    private final HttpRequest head;
    private final String id;
    private final long arrivedNanos;
    private final CompositeByteBuf body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    private final Set<String> tried = new HashSet<>();
    private Admission.Admitted admitted;
    private long giveUpNanos;
    private ScheduledFuture<?> giveUp;
    private Attempt attempt;
    private int sent;
    private boolean mayHaveRun;
    private boolean callerGone;
    private boolean done;
    private Answer answer;

    /** What goes back to the caller. */
    record Answer(int status, HttpHeaders headers, ByteBuf body) {}

    CallerRequest(FrontServer server, CallerConnection connection, HttpRequest head) {
        this.server = server;
        this.connection = connection;
        this.head = head;
        context = server.context();
        arrivedNanos = context.time().nanos();
        id = Optional.ofNullable(head.headers().get(context.headers().requestId()))
                .orElse("");
    }

    HttpRequest head() {
        return head;
    }

    Optional<Answer> answer() {
        return Optional.ofNullable(answer);
    }

    /** Takes in a part of the body. */
    void receive(ByteBuf part) {
        body.addComponent(true, part.retain());
    }

    int received() {
        return body.readableBytes();
    }

    /** Goes on once the whole request is here. */
    void received(EventLoop loop) {
        if (done) {
            return;
        }
        Admission.Outcome outcome = server.admission().decide(head);
        if (outcome instanceof Admission.Refused refused) {
            refuse(refused.refusal(), refused.team());
            return;
        }
        admitted = (Admission.Admitted) outcome;
        Duration timeout = admitted.route().policy().timeout();
        Duration patience =
                callersPatience().filter(p -> p.compareTo(timeout) < 0).orElse(timeout);
        // A caller counts from when it sent the request, which a loop that lags reads late.
        giveUpNanos = arrivedNanos + patience.toNanos() - server.mayHaveWaitedNanos();
        giveUp = loop.schedule(this::expire, giveUpNanos - context.time().nanos(), TimeUnit.NANOSECONDS);
        place();
    }

    private Optional<Duration> callersPatience() {
        String text = head.headers().get(context.headers().deadlineMs());
        if (text == null || !text.matches("\\d{1,9}")) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofMillis(Long.parseLong(text)));
    }

    private void place() {
        Duration left = Duration.ofNanos(giveUpNanos - context.time().nanos());
        if (left.compareTo(LEAST_LEFT) < 0) {
            refuse(Refusal.of(Reason.BUSY).retryAfter(DEFAULT_RETRY_AFTER), admitted.team());
            return;
        }
        Placement placement = context.placer().place(ask(left));
        if (placement instanceof Placement.Refused refused) {
            refuseUnplaced(refused);
            return;
        }
        Placement.Sent place = (Placement.Sent) placement;
        line(LineKind.SENT)
                .put("target", place.target().name())
                .put("busy", place.busy())
                .putNanos("waitMs", place.waitNanos())
                .put("candidates", place.candidates())
                .put("tries", tried.size())
                .putNanos("queuedMs", connection.queuedNanos())
                .putNanos("lagMs", server.mayHaveWaitedNanos())
                .write();
        attempt = new Attempt(place);
        attempt.begin();
    }

    private Ask ask(Duration left) {
        Duration inAim = admitted.route()
                .policy()
                .latencyTarget()
                .minusNanos(context.time().nanos() - arrivedNanos);
        return new Ask(admitted.service(), object(), id, body.readableBytes(), admitted.regions(), tried, inAim, left);
    }

    private String object() {
        boolean sticky = admitted.route().policy().sticky();
        String stated = sticky ? head.headers().get(context.headers().affinity()) : null;
        return stated == null ? "" : stated;
    }

    private void refuseUnplaced(Placement.Refused refused) {
        Reason reason = refused.why() == Placement.Cause.BUSY ? Reason.BUSY : Reason.NO_TARGET;
        if (sent == 0) {
            context.giveBack(admitted.team());
        }
        refuse(Refusal.of(reason).retryAfter(refused.retryAfter()), admitted.team());
    }

    private RequestKind kind() {
        return admitted.route().policy().kind();
    }

    private Forward forward(KnownTarget target) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(giveUpNanos - context.time().nanos());
        HttpHeaders headers =
                server.forwardHeaders().toTarget(head.headers(), admitted.team(), target.name(), Math.max(1, leftMs));
        return new Forward(id, head.method(), head.uri(), headers, body);
    }

    /** One try to have the request run by a target. */
    private final class Attempt implements TargetConnections.Taker, TargetConnection.Listener {
        private final Placement.Sent place;
        private final KnownTarget target;
        private final long begunNanos = context.time().nanos();
        private TargetConnection connection;
        private boolean sending;
        private boolean over;

        Attempt(Placement.Sent place) {
            this.place = place;
            target = place.target();
        }

        void begin() {
            Duration freshest = kind().mayRepeat() ? ANY_AGE : FRESH;
            server.connections().take(target, freshest, this);
        }

        @Override
        public void connected(TargetConnection opened) {
            if (over) {
                opened.giveBack();
                return;
            }
            connection = opened;
            CallerRequest.this.connection.unlessCallerLeft(this::send);
        }

        private void send() {
            if (over) {
                return;
            }
            if (sent++ == 0) {
                context.sentFirst(admitted.service());
            }
            sending = true;
            connection.send(forward(target), this);
        }

        @Override
        public void unreachable(String why) {
            if (!over) {
                end(Ending.UNREACHABLE);
                log(why, Ending.UNREACHABLE);
                again(false);
            }
        }

        @Override
        public void answered(TargetAnswer received) {
            if (over) {
                received.body().release();
                return;
            }
            Optional<String> load =
                    Optional.ofNullable(received.headers().get(context.headers().load()));
            int status = received.status().code();
            boolean notRun = connection.isNotRun(status, received.headers());
            Ending ending = ending(status, notRun);
            end(ending);
            if (notRun) {
                received.body().release();
                log("status " + status, ending);
                again(false);
            } else if (ending == Ending.FAILED && kind().mayRepeat() && mayTryAgain(true)) {
                received.body().release();
                log("status " + status, ending);
                mayHaveRun = true;
                place();
            } else {
                pass(target, received, context.time().nanos() - begunNanos, load);
            }
        }

        private static Ending ending(int status, boolean notRun) {
            if (notRun) {
                return status == MISDIRECTED ? Ending.MISDIRECTED : Ending.SHED;
            }
            return status >= 500 ? Ending.FAILED : Ending.ANSWERED;
        }

        @Override
        public void broken(String why, boolean written) {
            if (!over) {
                end(Ending.BROKEN);
                log(why, Ending.BROKEN);
                again(written);
            }
        }

        private void end(Ending ending) {
            over = true;
            long tookNanos = context.time().nanos() - begunNanos;
            context.meters().attempt(admitted.service(), ending, tookNanos);
            if (context.placer().ended(place, object(), ending, tookNanos)) {
                context.targetIsBack(target.name());
            }
        }

        private void log(String why, Ending ending) {
            line(LineKind.ATTEMPT)
                    .put("target", target.name())
                    .put("ending", ending.name())
                    .put("why", why)
                    .putNanos("tookMs", context.time().nanos() - begunNanos)
                    .write();
        }

        void cancel(Ending ending) {
            if (!over) {
                end(ending);
                if (connection == null) {
                    return;
                }
                if (sending) {
                    connection.cancel();
                } else {
                    connection.giveBack();
                }
            }
        }

        boolean isSent() {
            return sending;
        }

        /** Returns whether the whole request has left this process, so that the target may run it. */
        boolean isWritten() {
            return sending && connection.isWritten();
        }
    }

    private boolean mayTryAgain(boolean costsBudget) {
        boolean attemptsLeft = sent < admitted.route().policy().maxAttempts();
        boolean timeLeft = giveUpNanos - context.time().nanos() > LEAST_LEFT.toNanos();
        return attemptsLeft && timeLeft && (!costsBudget || context.mayRetry(admitted.service()));
    }

    /** Tries another target after an attempt that brought no answer, where that is allowed, or gives up. */
    private void again(boolean written) {
        KnownTarget failed = attempt.target;
        boolean wasSent = attempt.isSent();
        tried.add(failed.name());
        attempt = null;
        mayHaveRun |= written;
        if (callerGone) {
            finish();
            return;
        }
        boolean allowed = !written || kind().mayRepeat();
        if (allowed && mayTryAgain(wasSent)) {
            place();
        } else if (mayHaveRun) {
            refuse(Refusal.of(Reason.LOST), admitted.team());
        } else {
            refuse(Refusal.of(Reason.SHED).retryAfter(DEFAULT_RETRY_AFTER), admitted.team());
        }
    }

    /** Ends a request whose time is over. */
    private void expire() {
        if (done) {
            return;
        }
        boolean inProgress = attempt != null && attempt.isSent();
        if (attempt != null) {
            attempt.cancel(Ending.TIMED_OUT);
        }
        if (inProgress || mayHaveRun) {
            refuse(Refusal.of(Reason.LATE), admitted.team());
        } else {
            refuse(Refusal.of(Reason.BUSY).retryAfter(DEFAULT_RETRY_AFTER), admitted.team());
        }
    }

    private void pass(KnownTarget target, TargetAnswer received, long targetNanos, Optional<String> load) {
        if (done) {
            received.body().release();
            return;
        }
        line(LineKind.ANSWERED)
                .put("status", received.status().code())
                .put("target", target.name())
                .put("load", load.orElse(null))
                .putNanos("targetMs", targetNanos)
                .write();
        HttpHeaders headers = server.forwardHeaders().toCaller(received.headers());
        context.meters().answered(admitted.service(), received.status().code(), ageNanos());
        complete(new Answer(received.status().code(), headers, received.body()));
    }

    void refuse(Refusal refusal, String team) {
        if (done) {
            return;
        }
        boolean notRun = refusal.status() == 503 || refusal.status() == 429;
        Reason reason = mayHaveRun && notRun ? Reason.LOST : refusal.reason();
        line(reason.outcome() == Outcome.NOT_RUN ? LineKind.REFUSED : LineKind.FAILED)
                .put("reason", reason.name())
                .put("refusedTeam", admitted == null ? team : null)
                .put("sent", sent)
                .write();
        countEnded(reason);
        complete(OwnAnswers.of(reason, refusal.retry(), id, context.headers()));
    }

    private void countEnded(Reason reason) {
        context.meters().ended(admitted == null ? "" : admitted.service(), reason, ageNanos());
    }

    private long ageNanos() {
        return context.time().nanos() - arrivedNanos;
    }

    private EventLog.Line line(LineKind kind) {
        EventLog.Line line = context.log().line(kind).put("request", id);
        if (admitted != null) {
            line.put("route", admitted.route().name()).put("service", admitted.service());
            line.put("team", admitted.team());
            line.put("object", head.headers().get(context.headers().affinity()));
        }
        return line.putNanos("afterMs", ageNanos())
                .put("configuration", context.configuration().number());
    }

    private void complete(Answer whole) {
        answer = whole;
        finish();
        connection.flushAnswers();
    }

    private void finish() {
        done = true;
        if (giveUp != null) {
            giveUp.cancel(false);
        }
        body.release();
    }

    /** The caller's connection is gone: gives up what may run again or is not sent whole; the rest runs to its end. */
    void callerGone() {
        callerGone = true;
        if (done) {
            if (answer != null) {
                answer.body().release();
                answer = null;
            }
            return;
        }
        if (admitted == null) {
            finish();
            return;
        }
        countEnded(Reason.CALLER_GONE);
        line(LineKind.FAILED)
                .put("reason", Reason.CALLER_GONE.name())
                .put("sent", sent)
                .write();
        if (attempt == null || kind().mayRepeat() || !attempt.isWritten()) {
            if (attempt != null) {
                attempt.cancel(Ending.CANCELLED);
            }
            finish();
        }
    }
}
