package org.knapweedhatch.fault;

import java.util.function.Function;

/**
 * A value or a fault.
 *
 * <pre>{@code
 * if (result instanceof Result.Ok<Long> ok) {
 *     use(ok.value());
 * }
 * }</pre>
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

    /** A value. */
    record Ok<T>(T value) implements Result<T> {}

    /** A fault in place of the value. */
    record Failed<T>(Fault fault) implements Result<T> {}

    /** Returns a result holding a value. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a result holding a fault. */
    static <T> Result<T> failed(Fault fault) {
        return new Failed<>(fault);
    }

    /** Returns a result holding a new fault. */
    static <T> Result<T> failed(Step step, String peer, String message) {
        return new Failed<>(Fault.at(step, peer, message));
    }

    /** Returns whether this holds a value. */
    default boolean isOk() {
        return this instanceof Ok;
    }

    /** Returns the value, or throws {@link IllegalStateException} naming the fault. */
    default T orThrow() {
        if (this instanceof Ok<T> ok) {
            return ok.value();
        }
        throw new IllegalStateException(((Failed<T>) this).fault().toString());
    }

    /** Returns the fault, or throws {@link IllegalStateException} where there is a value. */
    default Fault fault() {
        if (this instanceof Failed<T> failed) {
            return failed.fault();
        }
        throw new IllegalStateException("the result holds a value");
    }

    /** Returns the result of applying {@code next} to the value; a fault is passed on. */
    default <R> Result<R> then(Function<T, Result<R>> next) {
        if (this instanceof Ok<T> ok) {
            return next.apply(ok.value());
        }
        return new Failed<>(((Failed<T>) this).fault());
    }
}
