package org.bamboohatch.routing.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;

/**
 * The presumed crash of a target: its connections ended while it answered requests.
 *
 * @param incarnation the incarnation that ended
 * @param at time at which it ended, in milliseconds; once it is refuted, time of the answer that shows so
 * @param suspects traits of the requests that the target had not answered, or had just begun to answer; those of a request
 *     come in its order
 * @param state certainty about the cause
 */
public record TargetCrash(TargetIncarnation incarnation, long at, List<RequestTrait> suspects, State state) {

    /** Certainty about the cause of a crash. */
    public enum State {
        /** Each of the suspects may be the cause. */
        UNEXPLAINED,
        /** The suspects are known to end targets. */
        ATTRIBUTED,
        /** There was no crash: the target has answered since, so only connections ended. */
        REFUTED
    }

    /** Time after a crash in which bytes may still arrive that the target had sent before, in milliseconds. */
    private static final long IN_FLIGHT_MS = 100;

    /** Time after a crash in which no target can have restarted, in milliseconds. */
    private static final long SHORTEST_RESTART_MS = 1_500;

    /** Number of suspects that are considered; limits the memory that callers can occupy. */
    private static final int MAX_SUSPECTS = 512;

    /** Copies the list, without the suspects beyond the limit. */
    public TargetCrash {
        suspects = List.copyOf(suspects.subList(0, Math.min(MAX_SUSPECTS, suspects.size())));
    }

    /**
     * Adds what is reported of the same incarnation. An attribution is not adopted, as the reporter may have known less.
     *
     * @param other the reported crash
     * @return this crash, with the suspects of both if neither knows the cause. An incarnation ends once, so of a crash and
     *     an answer that refutes one, the later counts
     */
    public TargetCrash merge(TargetCrash other) {
        if (other.state == State.REFUTED) {
            return other.at < at ? this : refute(other.at);
        }
        if (state == State.REFUTED) {
            return other.at > at ? other : this;
        }
        if (state != State.UNEXPLAINED || other.state != State.UNEXPLAINED) {
            return this;
        }
        Set<RequestTrait> union = new LinkedHashSet<>(suspects);
        union.addAll(other.suspects);
        boolean otherIsLater = other.at > at + SHORTEST_RESTART_MS;
        return new TargetCrash(incarnation, otherIsLater ? other.at : at, List.copyOf(union), State.UNEXPLAINED);
    }

    /**
     * Indicates whether an answer of the target shows that it has not crashed.
     *
     * @param answeredAt time of the answer, in milliseconds
     * @return whether the target can neither have sent it before the crash nor after a restart
     */
    public boolean isRefutedBy(long answeredAt) {
        return answeredAt >= at + IN_FLIGHT_MS && answeredAt <= at + SHORTEST_RESTART_MS;
    }

    /**
     * Returns the crash after the target has answered.
     *
     * @param answeredAt time of the answer, in milliseconds
     * @return the refuted crash, without suspects, at the time of the answer
     */
    public TargetCrash refute(long answeredAt) {
        return new TargetCrash(incarnation, answeredAt, List.of(), State.REFUTED);
    }

    /**
     * Returns the crash with some of its suspects.
     *
     * @param traits the suspects to retain
     * @return the crash without other suspects, empty if none remains
     */
    Optional<TargetCrash> retain(Set<RequestTrait> traits) {
        List<RequestTrait> retained = suspects.stream().filter(traits::contains).toList();
        return retained.isEmpty() ? Optional.empty() : Optional.of(new TargetCrash(incarnation, at, retained, state));
    }

    /**
     * Returns the crash once what may have caused it is known.
     *
     * @param causes the traits that end targets and were under way at this one
     * @return the crash without other suspects
     */
    public TargetCrash attributeTo(List<RequestTrait> causes) {
        return new TargetCrash(incarnation, at, causes, State.ATTRIBUTED);
    }
}
