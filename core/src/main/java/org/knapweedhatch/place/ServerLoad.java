package org.knapweedhatch.place;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A target's own statement of its load, which comes with each of its responses.
 *
 * @param running requests that the target was processing
 * @param waiting requests in the target's queue
 * @param slots requests that the target processes at a time
 * @param workPercent how long work takes on the target at the moment, 100 being usual; empty if it does not say
 * @param receivedNanos when this host received the statement
 */
public record ServerLoad(int running, int waiting, int slots, OptionalInt workPercent, long receivedNanos) {

    private static final Pattern HEADER =
            Pattern.compile("\\s*(\\d{1,6})\\s*,\\s*(\\d{1,6})\\s*,\\s*(\\d{1,6})\\s*(?:,\\s*(\\d{1,6})\\s*)?");

    /** Decodes three or four figures separated by commas; empty if they are malformed or contradict each other. */
    public static Optional<ServerLoad> parse(String header, long receivedNanos) {
        Matcher figures = HEADER.matcher(header);
        if (!figures.matches()) {
            return Optional.empty();
        }
        int slots = Integer.parseInt(figures.group(3));
        String work = figures.group(4);
        int percent = work == null ? 0 : Integer.parseInt(work);
        if (slots == 0 || Integer.parseInt(figures.group(1)) > slots || work != null && percent == 0) {
            return Optional.empty();
        }
        return Optional.of(new ServerLoad(
                Integer.parseInt(figures.group(1)),
                Integer.parseInt(figures.group(2)),
                slots,
                work == null ? OptionalInt.empty() : OptionalInt.of(percent),
                receivedNanos));
    }

    /** Returns the requests at the target, running and waiting. */
    int present() {
        return running + waiting;
    }
}
