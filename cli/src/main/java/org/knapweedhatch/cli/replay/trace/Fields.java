package org.knapweedhatch.cli.replay.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Locale;
import java.util.Set;

/** The fields of one line while it is decoded; every reader throws {@link BadField} on a wrong one. */
final class Fields {

    /** A field that is missing, unknown or wrong. */
    static final class BadField extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadField(String field, String message) {
            super(field + ": " + message, null, false, false);
        }
    }

    private static final int MAX_TEXT = 200;

    private final JsonNode node;
    private final Set<String> taken = new HashSet<>();

    Fields(JsonNode node) {
        this.node = node;
    }

    String text(String field) {
        JsonNode value = required(field);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw new BadField(field, "must be a text that is not empty");
        }
        if (value.textValue().length() > MAX_TEXT) {
            throw new BadField(field, "must not be longer than " + MAX_TEXT + " characters");
        }
        return value.textValue();
    }

    String textOrEmpty(String field) {
        return node.has(field) ? text(field) : "";
    }

    long number(String field, long min, long max) {
        JsonNode value = required(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new BadField(field, "must be a whole number");
        }
        long number = value.longValue();
        if (number < min || number > max) {
            throw new BadField(field, "must lie between " + min + " and " + max);
        }
        return number;
    }

    long numberOrZero(String field, long max) {
        return node.has(field) ? number(field, 0, max) : 0;
    }

    double decimal(String field, double absent) {
        if (!node.has(field)) {
            return absent;
        }
        JsonNode value = required(field);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < 0) {
            throw new BadField(field, "must be a number that is not negative");
        }
        return value.doubleValue();
    }

    boolean flag(String field) {
        JsonNode value = required(field);
        if (!value.isBoolean()) {
            throw new BadField(field, "must be true or false");
        }
        return value.booleanValue();
    }

    <E extends Enum<E>> E choice(String field, Class<E> choices) {
        String text = text(field);
        try {
            return Enum.valueOf(choices, text.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw new BadField(field, "is none of the known ones");
        }
    }

    void end() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!taken.contains(name)) {
                throw new BadField(name.length() > MAX_TEXT ? name.substring(0, MAX_TEXT) : name, "is unknown here");
            }
        }
    }

    private JsonNode required(String field) {
        taken.add(field);
        JsonNode value = node.get(field);
        if (value == null) {
            throw new BadField(field, "is missing");
        }
        return value;
    }
}
