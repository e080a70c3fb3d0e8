package org.knapweedhatch.timeline;

import java.time.Instant;
import java.util.EnumSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Which events a reader wants; a part that is not given lets everything through.
 *
 * <pre>{@code
 * EventFilter filter = EventFilter.builder().kind(EventKind.LOAN).subject("team:crew-1").build();
 * }</pre>
 */
public final class EventFilter implements Predicate<Event> {

    private final Set<EventKind> kinds;
    private final Set<String> hosts;
    private final Set<String> subjects;
    private final Instant from;
    private final Instant until;

    private EventFilter(Builder builder) {
        kinds = Set.copyOf(builder.kinds);
        hosts = Set.copyOf(builder.hosts);
        subjects = Set.copyOf(builder.subjects);
        from = builder.from;
        until = builder.until;
    }

    /** Returns a filter that lets every event through. */
    public static EventFilter all() {
        return builder().build();
    }

    /** Returns a builder of a filter. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public boolean test(Event event) {
        Instant when = event.time().instant();
        return (kinds.isEmpty() || kinds.contains(event.kind()))
                && (hosts.isEmpty() || hosts.contains(event.host()))
                && (subjects.isEmpty() || subjects.stream().anyMatch(s -> concerns(event.subject(), s)))
                && !when.isBefore(from)
                && when.isBefore(until);
    }

    private static boolean concerns(String subject, String wanted) {
        return subject.equals(wanted) || subject.endsWith(":" + wanted);
    }

    /** Gathers the parts of a filter. */
    public static final class Builder {
        private final Set<EventKind> kinds = EnumSet.noneOf(EventKind.class);
        private final Set<String> hosts = new TreeSet<>();
        private final Set<String> subjects = new TreeSet<>();
        private Instant from = Instant.MIN;
        private Instant until = Instant.MAX;

        private Builder() {}

        /** Lets events of a kind through; may be given several times. */
        public Builder kind(EventKind kind) {
            kinds.add(kind);
            return this;
        }

        /** Lets events of a host through; may be given several times. */
        public Builder host(String host) {
            hosts.add(host);
            return this;
        }

        /** Lets events about a subject through, {@code team:crew-1} or {@code crew-1}; may be given several times. */
        public Builder subject(String subject) {
            subjects.add(subject);
            return this;
        }

        /** Lets events at or after a time through. */
        public Builder from(Instant time) {
            from = time;
            return this;
        }

        /** Lets events before a time through. */
        public Builder until(Instant time) {
            until = time;
            return this;
        }

        /** Builds the filter. */
        public EventFilter build() {
            return new EventFilter(this);
        }
    }
}
