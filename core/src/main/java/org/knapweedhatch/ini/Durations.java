package org.knapweedhatch.ini;

import java.time.Duration;

/** Durations as files write them: {@code 250ms}, {@code 3s}, {@code 5m}, {@code 1h}. */
public final class Durations {

    private Durations() {}

    /** Returns a duration as a file writes it, in the largest unit that divides it; below a millisecond is dropped. */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        if (millis % 3_600_000 == 0 && millis > 0) {
            return millis / 3_600_000 + "h";
        }
        if (millis % 60_000 == 0 && millis > 0) {
            return millis / 60_000 + "m";
        }
        return millis % 1_000 == 0 ? millis / 1_000 + "s" : millis + "ms";
    }

    static Duration of(long count, String unit) {
        return switch (unit) {
            case "ms" -> Duration.ofMillis(count);
            case "s" -> Duration.ofSeconds(count);
            case "m" -> Duration.ofMinutes(count);
            default -> Duration.ofHours(count);
        };
    }
}
