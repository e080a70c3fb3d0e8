package org.knapweedhatch.timeline;

import java.util.List;
import org.knapweedhatch.helper.Validate;

/**
 * Consecutive events of one process, as far as it still holds them.
 *
 * @param host host that recorded the events
 * @param started when the process started; another value means another process, whose sequence began anew
 * @param after sequence number after which the reader asked
 * @param last sequence number up to which the reader has now been served
 * @param events events by rising sequence number; numbers left out were dropped
 */
public record Page(String host, HybridTime started, long after, long last, List<Event> events) {

    public Page {
        Validate.notEmpty(host, "host");
        Validate.notNull(started, "started");
        Validate.notNegative(after, "after");
        Validate.isTrue(last >= after, "last must not be below after: %d", last);
        events = List.copyOf(events);
    }

    /** Returns how many events between {@code after} and {@code last} were dropped. */
    public long dropped() {
        return last - after - events.size();
    }
}
