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
 * The capacity of a target with the reservations of its attempts. Instances are immutable; each change returns a new
 * state.
 *
 * @param memoryTokens KV memory of the target, in tokens, zero if it has none
 * @param maximumRuns maximum number of concurrent runs at the target
 * @param draining whether the target accepts no new requests
 * @param healthy whether the target answers health checks
 * @param millisPerPromptToken prefill time per prompt token, in milliseconds, or zero if it is unknown
 * @param reservations reservations by attempt
 */
public record CapacityState(
        long memoryTokens,
        int maximumRuns,
        boolean draining,
        boolean healthy,
        double millisPerPromptToken,
        Map<AttemptId, Reservation> reservations) {

    /** Creates a state with immutable reservations and checks that they do not exceed the memory of the target. */
    public CapacityState {
        reservations = Map.copyOf(reservations);
        long reserved = reservations.values().stream()
                .mapToLong(Reservation::memoryTokens)
                .sum();
        Invariant.check(
                memoryTokens == 0 || reserved <= memoryTokens,
                () -> "reserved memory exceeds the memory of the target");
    }

    /**
     * Returns the state of a healthy target without reservations.
     *
     * @param memoryTokens KV memory of the target, in tokens, zero if it has none
     * @param maximumRuns maximum number of concurrent runs at the target
     * @return the initial state
     */
    public static CapacityState empty(long memoryTokens, int maximumRuns) {
        return new CapacityState(memoryTokens, maximumRuns, false, true, 0, Map.of());
    }

    /**
     * Reserves capacity for an attempt. An attempt can hold one reservation only.
     *
     * @param attempt identifier of the attempt
     * @param reservation the capacity to reserve
     * @return the new state, or the reason for which the reservation is refused
     */
    public Result<CapacityState, RefusalReason> reserve(AttemptId attempt, Reservation reservation) {
        if (draining) {
            return Result.failure(RefusalReason.DRAINING);
        }
        if (!healthy) {
            return Result.failure(RefusalReason.UNHEALTHY);
        }
        boolean memoryLeft = memoryTokens == 0 || reservedTokens() + reservation.memoryTokens() <= memoryTokens;
        if (reservations.containsKey(attempt) || reservations.size() >= maximumRuns || !memoryLeft) {
            return Result.failure(RefusalReason.FULL);
        }
        Map<AttemptId, Reservation> changed = new HashMap<>(reservations);
        changed.put(attempt, reservation);
        return Result.success(withReservations(changed));
    }

    /**
     * Releases the reservation of an attempt, if any.
     *
     * @param attempt identifier of the attempt
     * @return the new state
     */
    public CapacityState release(AttemptId attempt) {
        Map<AttemptId, Reservation> changed = new HashMap<>(reservations);
        changed.remove(attempt);
        return withReservations(changed);
    }

    /**
     * Returns a copy in which the prefill of an attempt has ended.
     *
     * @param attempt identifier of the attempt, ignored if it has no reservation
     * @return the new state
     */
    public CapacityState withFirstToken(AttemptId attempt) {
        Map<AttemptId, Reservation> changed = new HashMap<>(reservations);
        changed.computeIfPresent(attempt, (key, reservation) -> reservation.withFirstToken());
        return withReservations(changed);
    }

    /**
     * Returns a copy that accepts no new reservations.
     *
     * @return the new state
     */
    public CapacityState withDraining() {
        return new CapacityState(memoryTokens, maximumRuns, true, healthy, millisPerPromptToken, reservations);
    }

    /**
     * Returns a copy with the result of a health check.
     *
     * @param answers whether the target answered
     * @param prefillMillis prefill time per prompt token, in milliseconds, or zero if it is unknown
     * @return the new state
     */
    public CapacityState withHealthCheck(boolean answers, double prefillMillis) {
        return new CapacityState(memoryTokens, maximumRuns, draining, answers, prefillMillis, reservations);
    }

    /**
     * Returns the KV memory that the reservations occupy.
     *
     * @return the reserved memory, in tokens
     */
    public long reservedTokens() {
        return reservations.values().stream()
                .mapToLong(Reservation::memoryTokens)
                .sum();
    }

    /**
     * Returns the load of the target as it is reported to entries.
     *
     * @return the load, in which an unhealthy target counts as draining
     */
    public Load load() {
        List<Long> waiting = new ArrayList<>(Collections.nCopies(Load.PRIORITIES, 0L));
        for (Reservation reservation : reservations.values()) {
            if (reservation.awaitingFirstToken()) {
                int priority = Math.min(Load.PRIORITIES - 1, Math.max(0, reservation.priority()));
                waiting.set(priority, waiting.get(priority) + reservation.promptTokens());
            }
        }
        return new Load(reservations.size(), reservedTokens(), waiting, millisPerPromptToken, draining || !healthy);
    }

    private CapacityState withReservations(Map<AttemptId, Reservation> changed) {
        return new CapacityState(memoryTokens, maximumRuns, draining, healthy, millisPerPromptToken, changed);
    }
}
