package org.bamboohatch.kernel.outcome;

import java.util.function.Function;

/**
 * Either a value or the problem that prevented it.
 *
 * @param <V> type of the value
 * @param <P> type of the problem
 */
public sealed interface Result<V, P> {

    /**
     * Creates a successful result.
     *
     * @param value value of the result
     * @param <V> type of the value
     * @param <P> type of the problem
     */
    static <V, P> Result<V, P> success(V value) {
        return new Success<>(value);
    }

    /**
     * Creates a failed result.
     *
     * @param problem reason why there is no value
     * @param <V> type of the value
     * @param <P> type of the problem
     */
    static <V, P> Result<V, P> failure(P problem) {
        return new Failure<>(problem);
    }

    /**
     * Applies a function to the value of a success. A failure keeps its problem.
     *
     * @param mapper function to apply to the value
     * @param <W> type of the new value
     */
    default <W> Result<W, P> map(Function<V, W> mapper) {
        if (this instanceof Success<V, P> success) {
            return success(mapper.apply(success.value()));
        }
        return failure(((Failure<V, P>) this).problem());
    }

    /**
     * Result with a value.
     *
     * @param value value of the result
     * @param <V> type of the value
     * @param <P> type of the problem
     */
    record Success<V, P>(V value) implements Result<V, P> {}

    /**
     * Result without a value.
     *
     * @param problem reason why there is no value
     * @param <V> type of the value
     * @param <P> type of the problem
     */
    record Failure<V, P>(P problem) implements Result<V, P> {}
}
