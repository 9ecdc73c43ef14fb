package org.bamboohatch.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Placement.Allocation;

/**
 * Memory that is set aside at several engines for one prompt: at all of them or at none. No order waits at an engine, so
 * prompts cannot block each other. Each engine lends the memory for a short time and is asked again while the prompt is
 * in use; what a lost gateway held is free when that time has passed.
 */
final class MemoryReservation {

    /** Orders are repeated after this part of the time for which memory is lent, so that one may be lost. */
    private static final double RENEW_SHARE = 0.35;

    /** Interval of the repeated releases after an order without an answer, in milliseconds. */
    private static final long REPEAT_MS = 1_000;

    /** Releases after an order without an answer: an engine may carry it out seconds later. */
    private static final int REPEATS = 8;

    /** Sends the orders. */
    private final Orders orders;

    /** Runs what is due later. */
    private final Timer timer;

    /** Name of the reservations. */
    private final String reservation;

    /** Time for which engines lend the memory, in milliseconds. */
    private final long leaseMillis;

    /** The parts. */
    private final List<Part> parts;

    /** Parts that no engine has answered for yet. */
    private int open;

    /** Whether the memory is not needed any more. */
    private boolean ended;

    /** How an engine answered an order. */
    enum Reply {
        /** The order is carried out. */
        DONE,
        /** The engine refused the order, or is gone. */
        REFUSED,
        /** No answer came: the order may be carried out, now or later. */
        UNANSWERED
    }

    /** Sends orders to engines. */
    interface Orders {

        /**
         * Asks an engine to set memory aside, or to keep it.
         *
         * @param allocation the engine and the memory
         * @param reservation name of the reservation
         * @param leaseMillis time for which the memory is needed, in milliseconds
         * @param answered takes the reply
         */
        void reserve(Allocation allocation, String reservation, long leaseMillis, Consumer<Reply> answered);

        /**
         * Tells an engine that memory is not needed any more.
         *
         * @param allocation the engine and the memory
         * @param reservation name of the reservation
         * @param answered takes the reply
         */
        void release(Allocation allocation, String reservation, Consumer<Reply> answered);
    }

    /** Runs actions later. */
    interface Timer {

        /**
         * Runs an action later.
         *
         * @param millis time until then, in milliseconds
         * @param action the action
         */
        void after(long millis, Runnable action);
    }

    /** Memory at one engine. */
    private static final class Part {

        /** The engine and the memory. */
        private final Allocation allocation;

        /** Whether an order had no answer. */
        private boolean doubtful;

        /** Whether the engine refused. */
        private boolean refused;

        /**
         * Creates a part.
         *
         * @param allocation the engine and the memory
         */
        Part(Allocation allocation) {
            this.allocation = allocation;
        }

        /**
         * Takes note of a reply.
         *
         * @param reply the reply
         */
        void note(Reply reply) {
            doubtful |= reply == Reply.UNANSWERED;
            refused = reply == Reply.REFUSED;
        }
    }

    /**
     * Creates a hold; nothing is set aside yet.
     *
     * @param orders sends the orders
     * @param timer runs what is due later
     * @param reservation name of the reservations, used once
     * @param leaseMillis time for which engines lend the memory, in milliseconds
     * @param allocations the engines and their memory, none if the prompt needs none
     */
    MemoryReservation(Orders orders, Timer timer, String reservation, long leaseMillis, List<Allocation> allocations) {
        this.orders = orders;
        this.timer = timer;
        this.reservation = reservation;
        this.leaseMillis = leaseMillis;
        this.parts = allocations.stream().map(Part::new).toList();
    }

    /**
     * Returns the name of the reservations.
     *
     * @return the name
     */
    String reservation() {
        return reservation;
    }

    /**
     * Sets the memory aside. When one engine has none, what others have set aside is freed.
     *
     * @param taken takes the engine that had no memory, empty if all have set it aside
     */
    void take(Consumer<Optional<TargetName>> taken) {
        open = parts.size();
        if (parts.isEmpty()) {
            taken.accept(Optional.empty());
        }
        for (Part part : parts) {
            orders.reserve(part.allocation, reservation, leaseMillis, reply -> onReserved(part, reply, taken));
        }
    }

    /**
     * Takes the reply to a first order.
     *
     * @param part the part
     * @param reply the reply
     * @param taken takes the result
     */
    private void onReserved(Part part, Reply reply, Consumer<Optional<TargetName>> taken) {
        part.note(reply);
        if (ended) {
            releaseLate(part);
            return;
        }
        if (reply != Reply.DONE) {
            end();
            taken.accept(Optional.of(part.allocation.engine()));
            return;
        }
        open--;
        if (open == 0) {
            timer.after(renewMillis(), this::renew);
            taken.accept(Optional.empty());
        }
    }

    /**
     * Returns the interval of the orders while the memory is used.
     *
     * @return the interval in milliseconds
     */
    private long renewMillis() {
        return (long) (leaseMillis * RENEW_SHARE);
    }

    /** Asks the engines to keep the memory. */
    private void renew() {
        if (ended) {
            return;
        }
        for (Part part : parts) {
            orders.reserve(part.allocation, reservation, leaseMillis, reply -> onRenewed(part, reply));
        }
        timer.after(renewMillis(), this::renew);
    }

    /**
     * Takes the reply to a repeated order.
     *
     * @param part the part
     * @param reply the reply
     */
    private void onRenewed(Part part, Reply reply) {
        part.note(reply);
        if (ended) {
            releaseLate(part);
        }
    }

    /** Frees the memory. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        parts.stream().filter(part -> !part.refused).forEach(part -> release(part, REPEATS));
    }

    /**
     * Frees memory whose order was answered after the release: the engine may have carried it out after the release too.
     *
     * @param part the part
     */
    private void releaseLate(Part part) {
        if (!part.refused) {
            release(part, REPEATS);
        }
    }

    /**
     * Frees the memory of one part.
     *
     * @param part the part
     * @param repeats times that the release is repeated if an order had no answer
     */
    private void release(Part part, int repeats) {
        orders.release(part.allocation, reservation, reply -> {
            part.doubtful |= reply == Reply.UNANSWERED;
            if (part.doubtful && repeats > 0) {
                timer.after(REPEAT_MS, () -> release(part, repeats - 1));
            }
        });
    }
}
