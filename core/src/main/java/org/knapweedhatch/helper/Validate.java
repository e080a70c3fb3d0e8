package org.knapweedhatch.helper;

/** Checks of arguments at the public doors; each throws {@link IllegalArgumentException}. */
public final class Validate {

    private Validate() {}

    /** Returns {@code value}, or throws where it is null. */
    public static <T> T notNull(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must not be null");
        }
        return value;
    }

    /** Returns {@code value}, or throws where it is null or blank. */
    public static String notEmpty(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be empty");
        }
        return value;
    }

    /** Throws with the formatted message where {@code condition} is false. */
    public static void isTrue(boolean condition, String message, Object... args) {
        if (!condition) {
            throw new IllegalArgumentException(String.format(message, args));
        }
    }

    /** Returns {@code value}, or throws where it is negative. */
    public static long notNegative(long value, String name) {
        isTrue(value >= 0, "%s must not be negative: %d", name, value);
        return value;
    }

    /** Returns {@code value}, or throws where it is not above zero. */
    public static long positive(long value, String name) {
        isTrue(value > 0, "%s must be above zero: %d", name, value);
        return value;
    }
}
