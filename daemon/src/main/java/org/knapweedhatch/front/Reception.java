package org.knapweedhatch.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import org.knapweedhatch.answer.Refusal;
import org.knapweedhatch.resource.MemoryBudget;

/**
 * The body of a request while it is received: kept for a target, or discarded as the head tells that the request is
 * refused. It ends with the time that the request may take.
 */
final class Reception {

    /** What became of a part of a body. */
    enum Taken {
        /** The part was kept, or left out. */
        YES,
        /** The body is larger than callers may send. */
        TOO_LARGE,
        /** The head tells that the request is refused, and more of its body is not worth reading. */
        REFUSED,
        /** There is no memory for it. */
        NO_MEMORY
    }

    private static final long NEVER = Long.MAX_VALUE;

    private final FrontServer server;
    private final CallerConnection connection;
    private final CallerRequest request;
    /** Null unless the request is refused whatever its body is. */
    private final Admission.Refused refused;

    private final long deadlineNanos;
    private final long maxBytes;
    private long discardedBytes;
    private long lastConnectionBytes;
    private long lastInputNanos;

    private Reception(
            FrontServer server,
            CallerConnection connection,
            CallerRequest request,
            Admission.Refused refused,
            long deadlineNanos) {
        this.server = server;
        this.connection = connection;
        this.request = request;
        this.refused = refused;
        this.deadlineNanos = deadlineNanos;
        lastInputNanos = server.context().time().nanos();
        maxBytes = server.context().configuration().callerLimits().bodyBytes();
    }

    /** Begins to receive the body of a request. */
    static Reception begin(FrontServer server, CallerConnection connection, CallerRequest request) {
        long now = server.context().time().nanos();
        Admission.Decision decision = server.admission().examine(request.head());
        if (decision instanceof Admission.Admitted admitted) {
            HttpRequest head = request.head();
            Duration timeout = RequestHeads.timeout(
                    head,
                    server.context().headerScheme(),
                    admitted.route().policy().timeout());
            return new Reception(server, connection, request, null, now + timeout.toNanos());
        }
        return new Reception(server, connection, request, (Admission.Refused) decision, NEVER);
    }

    /** Returns the reception of a request that has no body. */
    static Reception withoutBody(FrontServer server, CallerConnection connection, CallerRequest request) {
        return new Reception(server, connection, request, null, NEVER);
    }

    CallerRequest request() {
        return request;
    }

    /** Returns whether the request is refused whatever its body is. */
    boolean isRefused() {
        return refused != null;
    }

    /** Keeps a part of the body, for which other connections may have to give up memory, or leaves it out. */
    Taken take(ByteBuf part) {
        int bytes = part.readableBytes();
        if (request.received() + discardedBytes + bytes > maxBytes) {
            return Taken.TOO_LARGE;
        }
        if (isRefused()) {
            discardedBytes += bytes;
            return discardedBytes > MemoryBudget.SMALL_BYTES ? Taken.REFUSED : Taken.YES;
        }
        while (!request.appendBody(part)) {
            boolean reclaimed = server.reclaimer().reclaim(request.reservedBody() + bytes);
            if (!reclaimed || connection.isDroppedForMemory()) {
                return Taken.NO_MEMORY;
            }
        }
        return Taken.YES;
    }

    /** Returns how long the body has not come on, given the bytes that its connection received so far. */
    long stoppedNanos(long connectionBytes, boolean waitsForMemory, long nowNanos) {
        if (connectionBytes != lastConnectionBytes || waitsForMemory) {
            lastConnectionBytes = connectionBytes;
            lastInputNanos = nowNanos;
        }
        return nowNanos - lastInputNanos;
    }

    /** Returns whether the time of the request is over, so that no target can be asked any more. */
    boolean isOverdue(long nowNanos) {
        return nowNanos > deadlineNanos;
    }

    /** Refuses the request for what its head tells. */
    void refuse() {
        request.refuse(refused.refusal(), refused.team());
    }

    /** Refuses the request for another reason, unless its head tells one. */
    void refuse(Refusal refusal) {
        if (isRefused()) {
            refuse();
        } else {
            request.refuse(refusal, "");
        }
    }

    /** Goes on with the request, all of which has been received. */
    void complete(EventLoop loop) {
        if (isRefused()) {
            refuse();
        } else {
            request.received(loop);
        }
    }
}
