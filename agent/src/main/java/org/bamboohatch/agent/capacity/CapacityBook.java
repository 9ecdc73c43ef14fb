package org.bamboohatch.agent.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.AgentReply.RefusalReason;
import org.bamboohatch.protocol.message.Load;

/**
 * The capacity of a target and who holds it; each change makes a new book.
 *
 * @param memoryTokens KV memory of the target, in tokens, zero if it has none
 * @param maximumRuns runs that the target takes at the same time
 * @param draining whether the target takes no new work
 * @param healthy whether the target answers
 * @param millisPerPromptToken prefill time, in milliseconds a token
 * @param reservations what the attempts hold
 */
public record CapacityBook(
        long memoryTokens,
        int maximumRuns,
        boolean draining,
        boolean healthy,
        double millisPerPromptToken,
        Map<AttemptId, Reservation> reservations) {

    /** Makes the map immutable and checks that no more is held than there is. */
    public CapacityBook {
        reservations = Map.copyOf(reservations);
        long held = reservations.values().stream()
                .mapToLong(Reservation::memoryTokens)
                .sum();
        Invariant.check(memoryTokens == 0 || held <= memoryTokens, () -> "more memory is held than there is");
    }

    /**
     * Makes the book of a target that nobody holds.
     *
     * @param memoryTokens KV memory of the target, in tokens
     * @param maximumRuns runs that the target takes at the same time
     * @return the book
     */
    public static CapacityBook empty(long memoryTokens, int maximumRuns) {
        return new CapacityBook(memoryTokens, maximumRuns, false, true, 0, Map.of());
    }

    /**
     * Reserves capacity for an attempt.
     *
     * @param attempt the attempt
     * @param reservation what it needs
     * @return the new book, or why there is none
     */
    public Result<CapacityBook, RefusalReason> reserve(AttemptId attempt, Reservation reservation) {
        if (draining) {
            return Result.failure(RefusalReason.DRAINING);
        }
        if (!healthy) {
            return Result.failure(RefusalReason.UNHEALTHY);
        }
        boolean memoryLeft = memoryTokens == 0 || heldTokens() + reservation.memoryTokens() <= memoryTokens;
        if (reservations.containsKey(attempt) || reservations.size() >= maximumRuns || !memoryLeft) {
            return Result.failure(RefusalReason.FULL);
        }
        Map<AttemptId, Reservation> changed = new HashMap<>(reservations);
        changed.put(attempt, reservation);
        return Result.success(with(changed));
    }

    /**
     * Releases what an attempt holds.
     *
     * @param attempt the attempt
     * @return the new book
     */
    public CapacityBook release(AttemptId attempt) {
        Map<AttemptId, Reservation> changed = new HashMap<>(reservations);
        changed.remove(attempt);
        return with(changed);
    }

    /**
     * Takes note that the prompt of an attempt is processed.
     *
     * @param attempt the attempt
     * @return the new book
     */
    public CapacityBook firstToken(AttemptId attempt) {
        Map<AttemptId, Reservation> changed = new HashMap<>(reservations);
        changed.computeIfPresent(attempt, (key, reservation) -> reservation.withFirstToken());
        return with(changed);
    }

    /**
     * Returns a book that takes no new work.
     *
     * @return the new book
     */
    public CapacityBook drain() {
        return new CapacityBook(memoryTokens, maximumRuns, true, healthy, millisPerPromptToken, reservations);
    }

    /**
     * Returns a book with the target's latest state.
     *
     * @param answers whether the target answers
     * @param prefillMillis prefill time, in milliseconds a token
     * @return the new book
     */
    public CapacityBook observe(boolean answers, double prefillMillis) {
        return new CapacityBook(memoryTokens, maximumRuns, draining, answers, prefillMillis, reservations);
    }

    /**
     * Returns the memory that is held.
     *
     * @return the memory in tokens
     */
    public long heldTokens() {
        return reservations.values().stream()
                .mapToLong(Reservation::memoryTokens)
                .sum();
    }

    /**
     * Returns the load.
     *
     * @return the load
     */
    public Load load() {
        List<Long> waiting = new ArrayList<>(Collections.nCopies(Load.PRIORITIES, 0L));
        for (Reservation reservation : reservations.values()) {
            if (reservation.awaitingFirstToken()) {
                int priority = Math.min(Load.PRIORITIES - 1, Math.max(0, reservation.priority()));
                waiting.set(priority, waiting.get(priority) + reservation.promptTokens());
            }
        }
        return new Load(reservations.size(), heldTokens(), waiting, millisPerPromptToken, draining || !healthy);
    }

    /**
     * Returns a copy with other reservations.
     *
     * @param changed the reservations
     * @return the copy
     */
    private CapacityBook with(Map<AttemptId, Reservation> changed) {
        return new CapacityBook(memoryTokens, maximumRuns, draining, healthy, millisPerPromptToken, changed);
    }
}
