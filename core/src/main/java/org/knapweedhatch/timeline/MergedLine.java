package org.knapweedhatch.timeline;

/** One line of a merged time line: an event, or the mark of events that a host no longer holds. */
public sealed interface MergedLine {

    /** Returns the time that orders the line. */
    HybridTime time();

    /** Returns the host that the line is of. */
    String host();

    /** An event. */
    record Happened(Event event) implements MergedLine {
        @Override
        public HybridTime time() {
            return event.time();
        }

        @Override
        public String host() {
            return event.host();
        }
    }

    /**
     * Events that were dropped before they could be read.
     *
     * @param host host that dropped them
     * @param time time of the first event known after them, or of the start of the process where none is
     * @param count how many were dropped
     */
    record Dropped(String host, HybridTime time, long count) implements MergedLine {}
}
