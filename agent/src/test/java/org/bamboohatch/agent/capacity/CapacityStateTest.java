package org.bamboohatch.agent.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.protocol.message.AgentReply.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

class CapacityStateTest {

    private static final AttemptId FIRST = new AttemptId("first");
    private static final AttemptId SECOND = new AttemptId("second");

    private final CapacityState initial = CapacityState.empty(1_000, 2);

    private static Reservation reservation(long tokens) {
        return new Reservation(tokens, tokens, 0, true);
    }

    private static CapacityState success(Result<CapacityState, RefusalReason> result) {
        return ((Result.Success<CapacityState, RefusalReason>) result).value();
    }

    private static RefusalReason refusal(Result<CapacityState, RefusalReason> result) {
        return ((Result.Failure<CapacityState, RefusalReason>) result).problem();
    }

    @Example
    void refusesReservationsBeyondMemory() {
        CapacityState reserved = success(initial.reserve(FIRST, reservation(700)));
        assertThat(refusal(reserved.reserve(SECOND, reservation(301)))).isEqualTo(RefusalReason.FULL);
        assertThat(success(reserved.reserve(SECOND, reservation(300))).reservedTokens())
                .isEqualTo(1_000);
    }

    @Example
    void refusesSecondReservationOfAttempt() {
        CapacityState reserved = success(initial.reserve(FIRST, reservation(1)));
        assertThat(refusal(reserved.reserve(FIRST, reservation(1)))).isEqualTo(RefusalReason.FULL);
    }

    @Example
    void drainingTargetRefusesReservations() {
        assertThat(refusal(initial.withDraining().reserve(FIRST, reservation(1))))
                .isEqualTo(RefusalReason.DRAINING);
    }

    @Example
    void unhealthyTargetRefusesReservations() {
        assertThat(refusal(initial.withHealthCheck(false, 0).reserve(FIRST, reservation(1))))
                .isEqualTo(RefusalReason.UNHEALTHY);
    }

    @Example
    void firstTokenRemovesPromptFromWaitingTokens() {
        CapacityState reserved = success(initial.reserve(FIRST, reservation(400)));
        assertThat(reserved.load().waitingTokens().get(0)).isEqualTo(400);
        assertThat(reserved.withFirstToken(FIRST).load().waitingTokens().get(0)).isZero();
    }

    @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void reservedMemoryStaysWithinBoundsAndReturnsToZero(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        CapacityState current = CapacityState.empty(5_000, 20);
        List<AttemptId> running = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            if (random.nextInt(3) > 0) {
                AttemptId attempt = new AttemptId("attempt-" + step);
                Result<CapacityState, RefusalReason> result =
                        current.reserve(attempt, reservation(random.nextInt(1, 900)));
                if (result instanceof Result.Success<CapacityState, RefusalReason> reserved) {
                    current = reserved.value();
                    running.add(attempt);
                }
            } else if (!running.isEmpty()) {
                current = current.release(running.remove(random.nextInt(running.size())));
            }
            assertThat(current.reservations()).hasSize(running.size());
            assertThat(current.reservedTokens()).isBetween(0L, 5_000L);
        }
        for (AttemptId attempt : running) {
            current = current.release(attempt);
        }
        assertThat(current.reservedTokens()).isZero();
    }
}
