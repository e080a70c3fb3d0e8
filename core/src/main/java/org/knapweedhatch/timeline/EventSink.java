package org.knapweedhatch.timeline;

/**
 * Where events are recorded.
 *
 * <pre>{@code
 * events.record(EventKind.LOAN, "team:crew-1", "lent 40 tokens to lima-b-1");
 * }</pre>
 */
@FunctionalInterface
public interface EventSink {

    /** Records an event that happens now; never blocks and never fails. */
    void record(EventKind kind, String subject, String detail);

    /** Returns a sink that forgets everything. */
    static EventSink none() {
        return (kind, subject, detail) -> {};
    }
}
