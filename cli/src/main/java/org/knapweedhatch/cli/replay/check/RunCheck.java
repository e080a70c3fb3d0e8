package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** At most once, not-run, and one whole answer per request, from what targets and callers saw. */
public final class RunCheck implements Observer {

    private final Breaches breaches;
    private final Set<Long> ran = new HashSet<>();
    private final Set<Long> ranOnce = new HashSet<>();
    private final Map<String, Long> ranByIdempotencyKey = new HashMap<>();
    private final Set<Long> saidNotRun = new HashSet<>();
    private final Set<Long> answered = new HashSet<>();

    /** Creates the check. */
    public RunCheck(Breaches breaches) {
        this.breaches = breaches;
    }

    @Override
    public void started(long nanos, Request request, String team, String target) {
        ran.add(request.id());
        if (saidNotRun.contains(request.id())) {
            breaches.add(Promise.NOT_RUN, nanos, "target:" + target, "request " + request.id() + " ran after all");
        }
        if (!request.arrival().idempotent()) {
            checkOnce(nanos, request, target);
        }
    }

    private void checkOnce(long nanos, Request request, String target) {
        if (!ranOnce.add(request.id())) {
            breaches.add(Promise.AT_MOST_ONCE, nanos, "target:" + target, "request " + request.id() + " ran again");
        }
        String key = request.arrival().idempotencyKey();
        if (!key.isEmpty()) {
            Long first = ranByIdempotencyKey.putIfAbsent(sharedKey(request), request.id());
            if (first != null && first != request.id()) {
                String detail = "request " + request.id() + " ran though request " + first + " with its key had";
                breaches.add(Promise.AT_MOST_ONCE, nanos, "target:" + target, detail);
            }
        }
    }

    @Override
    public void answered(long nanos, Request request, Outcome outcome) {
        String subject = "request:" + request.id();
        if (!answered.add(request.id())) {
            breaches.add(Promise.WHOLE_ANSWER, nanos, subject, "a second outcome");
        }
        if (outcome.kind() == Outcome.Kind.NOT_RUN) {
            saidNotRun.add(request.id());
            if (ran.contains(request.id())) {
                breaches.add(Promise.NOT_RUN, nanos, subject, "refused as not run, and had run");
            }
        }
        if (outcome.kind() == Outcome.Kind.ANSWERED && !isOwnAndWhole(request, outcome)) {
            String detail = outcome.bytes() + " bytes of the answer of request " + outcome.answerOf();
            breaches.add(Promise.WHOLE_ANSWER, nanos, subject, detail);
        }
    }

    private boolean isOwnAndWhole(Request request, Outcome outcome) {
        return (outcome.answerOf() == request.id() || isKept(request, outcome))
                && outcome.bytes() == request.arrival().answerBytes()
                && ran.contains(outcome.answerOf());
    }

    /** Returns whether an answer is that of an earlier request with the same idempotency key. */
    private boolean isKept(Request request, Outcome outcome) {
        return Long.valueOf(outcome.answerOf()).equals(ranByIdempotencyKey.get(sharedKey(request)));
    }

    private static String sharedKey(Request request) {
        return request.arrival().key() + "/" + request.arrival().idempotencyKey();
    }
}
