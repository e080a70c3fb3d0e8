package org.knapweedhatch.timeline;

import org.knapweedhatch.helper.Validate;

/**
 * Something that happened at a host.
 *
 * @param host host that recorded it
 * @param sequence number of the event at that process, from 1 without gaps
 * @param time when it happened
 * @param kind kind of event
 * @param subject what it is about, such as {@code team:crew-1}; may be empty
 * @param detail a short sentence for people
 */
public record Event(String host, long sequence, HybridTime time, EventKind kind, String subject, String detail)
        implements Comparable<Event> {

    public Event {
        Validate.notEmpty(host, "host");
        Validate.positive(sequence, "sequence");
        Validate.notNull(time, "time");
        Validate.notNull(kind, "kind");
        Validate.notNull(subject, "subject");
        Validate.notNull(detail, "detail");
    }

    @Override
    public int compareTo(Event that) {
        int order = time.compareTo(that.time);
        if (order == 0) {
            order = host.compareTo(that.host);
        }
        return order == 0 ? Long.compare(sequence, that.sequence) : order;
    }
}
