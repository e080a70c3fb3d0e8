package org.knapweedhatch.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;

/** Requests to peers that wait for their answers, by request id. */
final class Fetches {

    private record Pending(String peer, CompletableFuture<Result<byte[]>> answer) {}

    private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
    private final AtomicLong lastId = new AtomicLong();
    private final int maxPending;

    Fetches(int maxPending) {
        this.maxPending = maxPending;
    }

    /** Registers a request; returns its id, or 0 where too many wait. */
    long open(String peer, CompletableFuture<Result<byte[]>> answer) {
        if (pending.size() >= maxPending) {
            return 0;
        }
        long id = lastId.incrementAndGet();
        pending.put(id, new Pending(peer, answer));
        return id;
    }

    /** Ends a request with a peer's answer; answers of other peers and late ones are ignored. */
    void answer(String peer, long id, Result<byte[]> result) {
        Pending request = pending.get(id);
        if (request != null && request.peer().equals(peer) && pending.remove(id, request)) {
            request.answer().complete(result);
        }
    }

    /** Ends a request that was not answered in time. */
    void expire(long id) {
        Pending request = pending.remove(id);
        if (request != null) {
            request.answer().complete(Result.failed(Step.PEER, request.peer(), "no answer in time"));
        }
    }

    int size() {
        return pending.size();
    }
}
