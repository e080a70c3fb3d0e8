package org.knapweedhatch.platform;

import java.util.Comparator;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A point in the history of the store. Revisions count over the whole store within an era; a store that comes back from
 * an older copy of itself goes on from the revision of the copy in the next era.
 *
 * @param era number of times that the store was rolled back; 0 if the store states none
 * @param revision revision of the store within the era
 */
public record StoreVersion(long era, long revision) implements Comparable<StoreVersion> {

    /** The version before any other. */
    public static final StoreVersion NONE = new StoreVersion(0, 0);

    private static final Pattern TEXT = Pattern.compile("(\\d{1,18})/(\\d{1,18})");

    private static final Comparator<StoreVersion> ORDER =
            Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::revision);

    /** Returns the version in a text as {@link #toString} gives it; empty if it is none. */
    public static Optional<StoreVersion> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        return matcher.matches()
                ? Optional.of(new StoreVersion(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2))))
                : Optional.empty();
    }

    /** Returns the later one of this version and another. */
    public StoreVersion max(StoreVersion other) {
        return isBefore(other) ? other : this;
    }

    /** Returns whether this version comes before another. */
    public boolean isBefore(StoreVersion other) {
        return compareTo(other) < 0;
    }

    @Override
    public int compareTo(StoreVersion other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
