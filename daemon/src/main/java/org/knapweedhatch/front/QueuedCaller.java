package org.knapweedhatch.front;

import java.util.Locale;
import org.knapweedhatch.answer.Reason;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.place.Capacity;
import org.knapweedhatch.place.Placement;
import org.knapweedhatch.queue.Offer;
import org.knapweedhatch.queue.QueuedRequest;
import org.knapweedhatch.queue.Rejection;
import org.knapweedhatch.queue.WaitingRequest;

/**
 * A caller's request in the queue of its service, before its first attempt.
 *
 * <p>For use on the event loop of the caller's connection only.
 */
final class QueuedCaller implements WaitingRequest {

    private final FrontServer server;
    private final CallerRequest request;
    private final Admission.Admitted admitted;
    private final QueuedRequest facts;
    private final long offeredNanos;
    private Rejection rejection;

    QueuedCaller(
            FrontServer server,
            CallerRequest request,
            Admission.Admitted admitted,
            String object,
            long arrivedNanos,
            long deadlineNanos) {
        this.server = server;
        this.request = request;
        this.admitted = admitted;
        offeredNanos = server.context().time().nanos();
        facts = new QueuedRequest(
                admitted.team(),
                admitted.route().name(),
                admitted.priority(),
                object,
                arrivedNanos,
                admitted.route().policy().latencyTarget(),
                deadlineNanos);
    }

    @Override
    public QueuedRequest facts() {
        return facts;
    }

    /** Returns the time since the request was offered to the queue. */
    long heldNanos() {
        return server.context().time().nanos() - offeredNanos;
    }

    /** Returns why the queue rejected the request; null if it did not. */
    String cause() {
        return rejection == null ? null : rejection.cause().name();
    }

    /** Offers the request to the queue; it is started, waits, or is refused. */
    void offer() {
        if (server.queues().offer(admitted.service(), this) instanceof Offer.Refused refused) {
            request.refundIfUnsent();
            end(refused.rejection());
        }
    }

    @Override
    public Placement start(Capacity capacity, String preferredTarget) {
        Placement placement = server.context()
                .placer()
                .place(request.placementRequest(request.timeLeft()), capacity, preferredTarget);
        if (placement instanceof Placement.Sent sent) {
            recordWait("sent");
            request.startAttempt(sent, this);
        }
        return placement;
    }

    @Override
    public void reject(Rejection why) {
        request.refundIfUnsent();
        // The response may end the caller's connection and with it other requests, so the queue finishes first.
        server.execute(() -> end(why));
    }

    private void end(Rejection why) {
        rejection = why;
        recordWait(why.cause().name().toLowerCase(Locale.ROOT));
        request.refuse(server.context().stop().isPresent() ? Admission.LEAVING : refusalOf(why), admitted.team());
    }

    private static Refusal refusalOf(Rejection why) {
        return switch (why.cause()) {
            case NO_TARGET -> Refusal.of(Reason.NO_TARGET).retryAfter(why.retryAfter());
            case STOPPING -> Admission.LEAVING;
            default -> Refusal.of(Reason.BUSY).retryAfter(why.retryAfter());
        };
    }

    /** Records how long the request waited; the outcome says why the wait ended. */
    private void recordWait(String outcome) {
        server.context().requestMetrics().recordQueueWait(admitted.service(), outcome, heldNanos());
    }

    /** Leaves the queue, if the request is still there, and returns its rate token. */
    void leave(boolean callerDisconnected) {
        if (server.queues().remove(admitted.service(), this)) {
            recordWait(callerDisconnected ? "caller_gone" : "ended");
            request.refundIfUnsent();
        }
    }
}
