package org.knapweedhatch.ini;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Validate;

/**
 * A value that passed every check, or all the faults that were found.
 *
 * <pre>{@code
 * if (checked instanceof Checked.Faulty<IniFile> faulty) {
 *     faulty.faults().forEach(System.err::println);
 * }
 * }</pre>
 *
 * @param <T> the type of the value
 */
public sealed interface Checked<T> {

    /** A value without a fault. */
    record Valid<T>(T value) implements Checked<T> {}

    /** The faults in place of the value; never empty. */
    record Faulty<T>(List<FileFault> faults) implements Checked<T> {
        public Faulty {
            faults = List.copyOf(faults);
            Validate.isTrue(!faults.isEmpty(), "a faulty result names a fault");
        }
    }

    /** Returns a result holding a value. */
    static <T> Checked<T> valid(T value) {
        return new Valid<>(value);
    }

    /** Returns a result holding faults. */
    static <T> Checked<T> faulty(List<FileFault> faults) {
        return new Faulty<>(faults);
    }

    /** Returns whether this holds a value. */
    default boolean isValid() {
        return this instanceof Valid;
    }

    /** Returns the faults; empty where there is a value. */
    default List<FileFault> faults() {
        return List.of();
    }

    /** Returns the value, or throws {@link IllegalStateException} naming the faults. */
    default T orThrow() {
        return result(Step.SETTINGS).orThrow();
    }

    /** Returns the result of applying {@code next} to the value; faults are passed on. */
    default <R> Checked<R> then(Function<T, Checked<R>> next) {
        if (this instanceof Valid<T> valid) {
            return next.apply(valid.value());
        }
        return new Faulty<>(faults());
    }

    /** Returns the value, or one fault at a step whose message lists all faults, one a line. */
    default Result<T> result(Step step) {
        if (this instanceof Valid<T> valid) {
            return Result.ok(valid.value());
        }
        String text = faults().stream().map(FileFault::toString).collect(Collectors.joining("\n"));
        return Result.failed(step, faults().get(0).file(), text);
    }
}
