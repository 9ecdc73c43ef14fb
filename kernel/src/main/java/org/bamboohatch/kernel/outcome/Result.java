package org.bamboohatch.kernel.outcome;

import java.util.function.Function;

/**
 * A value or the problem that stands in its place.
 *
 * @param <V> the type of the value
 * @param <P> the type of the problem
 */
public sealed interface Result<V, P> {

    /**
     * Makes a success.
     *
     * @param value the value
     * @param <V> the type of the value
     * @param <P> the type of the problem
     * @return the result
     */
    static <V, P> Result<V, P> success(V value) {
        return new Success<>(value);
    }

    /**
     * Makes a failure.
     *
     * @param problem the problem
     * @param <V> the type of the value
     * @param <P> the type of the problem
     * @return the result
     */
    static <V, P> Result<V, P> failure(P problem) {
        return new Failure<>(problem);
    }

    /**
     * Maps the value of a success; a failure stays as it is.
     *
     * @param mapper the mapping
     * @param <W> the new type of the value
     * @return the mapped result
     */
    default <W> Result<W, P> map(Function<V, W> mapper) {
        if (this instanceof Success<V, P> success) {
            return success(mapper.apply(success.value()));
        }
        return failure(((Failure<V, P>) this).problem());
    }

    /**
     * The value is there.
     *
     * @param value the value
     * @param <V> the type of the value
     * @param <P> the type of the problem
     */
    record Success<V, P>(V value) implements Result<V, P> {}

    /**
     * The value is not there.
     *
     * @param problem the reason
     * @param <V> the type of the value
     * @param <P> the type of the problem
     */
    record Failure<V, P>(P problem) implements Result<V, P> {}
}
