package org.knapweedhatch.ini;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.knapweedhatch.world.Address;

/**
 * Reads the fields of one section as typed values and gathers every fault.
 *
 * <pre>{@code
 * Fields fields = Fields.of(section, faults);
 * int slots = fields.whole("slots", 1, 1_000);
 * Duration wait = fields.duration("wait", MIN, MAX, Duration.ofSeconds(1));
 * fields.rejectOthers();
 * if (fields.valid()) { ... }
 * }</pre>
 *
 * <p>A faulty field yields a stand-in inside its range, so that reading goes on; use the values only where
 * {@link #valid()} holds.
 */
public final class Fields {

    private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(\\.\\d{1,6})?\\s*(ms|s|m|h)");
    private static final Pattern WHOLE = Pattern.compile("[+-]?\\d{1,18}");
    private static final Pattern NUMBER = Pattern.compile("[+-]?\\d{1,15}(\\.\\d{1,15})?([eE][+-]?\\d{1,3})?");
    private static final Address NO_ADDRESS = new Address("0.0.0.0", 1);
    private static final int MAX_TEXT = 1_000;

    private final Section section;
    private final FaultList faults;
    private final Map<String, Field> byName = new HashMap<>();
    private final Map<String, String> defaults;
    private final Set<String> read = new HashSet<>();
    private final int faultsBefore;

    private Fields(Section section, FaultList faults, Map<String, String> defaults) {
        this.section = section;
        this.faults = faults;
        this.defaults = defaults;
        this.faultsBefore = faults.size();
        section.fields().forEach(f -> byName.put(f.name(), f));
    }

    /** Creates a reader of a section that adds to a list of faults. */
    public static Fields of(Section section, FaultList faults) {
        return new Fields(section, faults, Map.of());
    }

    /** Creates a reader that takes an absent field from {@code defaults}, in the form that a file would have. */
    public static Fields of(Section section, FaultList faults, Map<String, String> defaults) {
        return new Fields(section, faults, Map.copyOf(defaults));
    }

    /** Returns whether this reader has found no fault so far. */
    public boolean valid() {
        return faults.size() == faultsBefore;
    }

    /** Adds a fault about a field, or about the section where the field is absent. */
    public void fault(String field, String message) {
        int line = byName.containsKey(field) ? byName.get(field).line() : section.line();
        faults.add(line, field, message);
    }

    /** Adds a fault for every field that was not read. */
    public void rejectOthers() {
        for (Field field : section.fields()) {
            if (!read.contains(field.name())) {
                faults.add(field.line(), field.name(), "unknown field");
            }
        }
    }

    /** Returns the section that is read. */
    public Section section() {
        return section;
    }

    /** Returns whether the section holds a field. */
    public boolean has(String name) {
        return byName.containsKey(name);
    }

    /** Returns a text, which must not be empty. */
    public String text(String name) {
        return required(name, Optional::of).orElse("");
    }

    /** Returns a text, or {@code otherwise} where the field is absent. */
    public String text(String name, String otherwise) {
        return optional(name, otherwise, Optional::of);
    }

    /** Returns a whole number in a range. */
    public long whole(String name, long min, long max) {
        return required(name, text -> wholeIn(name, text, min, max)).orElse(min);
    }

    /** Returns a whole number in a range, or {@code otherwise} where the field is absent. */
    public long whole(String name, long min, long max, long otherwise) {
        return optional(name, otherwise, text -> wholeIn(name, text, min, max));
    }

    /** Returns a number in a range. */
    public double number(String name, double min, double max) {
        return required(name, text -> numberIn(name, text, min, max)).orElse(min);
    }

    /** Returns a number in a range, or {@code otherwise} where the field is absent. */
    public double number(String name, double min, double max, double otherwise) {
        return optional(name, otherwise, text -> numberIn(name, text, min, max));
    }

    /** Returns a duration in a range, written such as {@code 250ms}, {@code 3s}, {@code 5m} or {@code 1h}. */
    public Duration duration(String name, Duration min, Duration max) {
        return required(name, text -> durationIn(name, text, min, max)).orElse(min);
    }

    /** Returns a duration in a range, or {@code otherwise} where the field is absent. */
    public Duration duration(String name, Duration min, Duration max, Duration otherwise) {
        return optional(name, otherwise, text -> durationIn(name, text, min, max));
    }

    /** Returns an address of the form {@code ip:port}. */
    public Address address(String name) {
        return required(name, text -> addressOf(name, text)).orElse(NO_ADDRESS);
    }

    /** Returns a list of addresses divided by commas; empty where the field is absent. */
    public List<Address> addresses(String name) {
        List<Address> all = new ArrayList<>();
        for (String text : list(name)) {
            addressOf(name, text).ifPresent(all::add);
        }
        return all;
    }

    /** Returns an enum constant, written in lower case with dashes. */
    public <E extends Enum<E>> E choice(String name, Class<E> type) {
        return required(name, text -> constant(name, text, type)).orElse(type.getEnumConstants()[0]);
    }

    /** Returns an enum constant, or {@code otherwise} where the field is absent. */
    public <E extends Enum<E>> E choice(String name, Class<E> type, E otherwise) {
        return optional(name, otherwise, text -> constant(name, text, type));
    }

    /** Returns the parts of a field divided by commas or blanks; empty where the field is absent. */
    public List<String> list(String name) {
        read.add(name);
        Field field = byName.get(name);
        if (field == null || field.value().isBlank()) {
            return List.of();
        }
        return Arrays.asList(field.value().strip().split("[,\\s]+"));
    }

    private <T> Optional<T> required(String name, Function<String, Optional<T>> parse) {
        read.add(name);
        Field field = byName.get(name);
        String text = field == null ? defaults.getOrDefault(name, "") : field.value();
        if (!text.isBlank()) {
            return bounded(name, text).flatMap(parse);
        }
        fault(name, field == null ? "field is missing" : "field is empty");
        return Optional.empty();
    }

    private <T> T optional(String name, T otherwise, Function<String, Optional<T>> parse) {
        read.add(name);
        if (!byName.containsKey(name) && !defaults.containsKey(name)) {
            return otherwise;
        }
        return required(name, parse).orElse(otherwise);
    }

    private Optional<String> bounded(String name, String text) {
        if (text.length() <= MAX_TEXT) {
            return Optional.of(text);
        }
        fault(name, "longer than " + MAX_TEXT + " characters");
        return Optional.empty();
    }

    private Optional<Long> wholeIn(String name, String text, long min, long max) {
        if (!WHOLE.matcher(text).matches()) {
            fault(name, "not a whole number: " + text);
            return Optional.empty();
        }
        long value = Long.parseLong(text);
        return inRange(name, text, value >= min && value <= max, value, min + " to " + max);
    }

    private Optional<Double> numberIn(String name, String text, double min, double max) {
        if (!NUMBER.matcher(text).matches()) {
            fault(name, "not a number: " + text);
            return Optional.empty();
        }
        double value = Double.parseDouble(text);
        return inRange(name, text, value >= min && value <= max, value, min + " to " + max);
    }

    private Optional<Duration> durationIn(String name, String text, Duration min, Duration max) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            fault(name, "not a duration such as 250ms, 3s, 5m or 1h: " + text);
            return Optional.empty();
        }
        Duration value = Durations.of(Long.parseLong(matcher.group(1)), matcher.group(3));
        if (matcher.group(2) != null) {
            long unitNanos = Durations.of(1, matcher.group(3)).toNanos();
            value = value.plusNanos(Math.round(Double.parseDouble("0" + matcher.group(2)) * unitNanos));
        }
        boolean inside = value.compareTo(min) >= 0 && value.compareTo(max) <= 0;
        return inRange(name, text, inside, value, Durations.format(min) + " to " + Durations.format(max));
    }

    private <T> Optional<T> inRange(String name, String text, boolean inside, T value, String range) {
        if (inside) {
            return Optional.of(value);
        }
        fault(name, "out of range " + range + ": " + text);
        return Optional.empty();
    }

    private Optional<Address> addressOf(String name, String text) {
        try {
            Address address = Address.parse(text);
            if (IpNumbers.isAddress(address.ip())) {
                return Optional.of(address);
            }
        } catch (IllegalArgumentException e) {
            // Reported below, with the same words as any other malformed address.
        }
        fault(name, "not an address of the form ip:port: " + text);
        return Optional.empty();
    }

    private <E extends Enum<E>> Optional<E> constant(String name, String text, Class<E> type) {
        for (E constant : type.getEnumConstants()) {
            if (written(constant).equals(text)) {
                return Optional.of(constant);
            }
        }
        String known =
                Arrays.stream(type.getEnumConstants()).map(Fields::written).collect(Collectors.joining(", "));
        fault(name, "not one of " + known + ": " + text);
        return Optional.empty();
    }

    /** Returns an enum constant as files write it: lower case with dashes. */
    public static String written(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
