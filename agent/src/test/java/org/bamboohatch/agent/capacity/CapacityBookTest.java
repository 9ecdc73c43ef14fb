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

class CapacityBookTest {

    private static final AttemptId FIRST = new AttemptId("first");
    private static final AttemptId SECOND = new AttemptId("second");

    private final CapacityBook book = CapacityBook.empty(1_000, 2);

    private static Reservation reservation(long tokens) {
        return new Reservation(tokens, tokens, 0, true);
    }

    private static CapacityBook taken(Result<CapacityBook, RefusalReason> result) {
        return ((Result.Success<CapacityBook, RefusalReason>) result).value();
    }

    private static RefusalReason refused(Result<CapacityBook, RefusalReason> result) {
        return ((Result.Failure<CapacityBook, RefusalReason>) result).problem();
    }

    @Example
    void memoryIsNotGivenTwice() {
        CapacityBook held = taken(book.reserve(FIRST, reservation(700)));
        assertThat(refused(held.reserve(SECOND, reservation(301)))).isEqualTo(RefusalReason.FULL);
        assertThat(taken(held.reserve(SECOND, reservation(300))).heldTokens()).isEqualTo(1_000);
    }

    @Example
    void anAttemptReservesOnce() {
        CapacityBook held = taken(book.reserve(FIRST, reservation(1)));
        assertThat(refused(held.reserve(FIRST, reservation(1)))).isEqualTo(RefusalReason.FULL);
    }

    @Example
    void aDrainingTargetTakesNothing() {
        assertThat(refused(book.drain().reserve(FIRST, reservation(1)))).isEqualTo(RefusalReason.DRAINING);
    }

    @Example
    void aTargetThatDoesNotAnswerTakesNothing() {
        assertThat(refused(book.observe(false, 0).reserve(FIRST, reservation(1))))
                .isEqualTo(RefusalReason.UNHEALTHY);
    }

    @Example
    void processedPromptsDoNotWait() {
        CapacityBook held = taken(book.reserve(FIRST, reservation(400)));
        assertThat(held.load().waitingTokens().get(0)).isEqualTo(400);
        assertThat(held.firstToken(FIRST).load().waitingTokens().get(0)).isZero();
    }

    @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void heldMemoryIsTheSumOfTheReservations(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        CapacityBook current = CapacityBook.empty(5_000, 20);
        List<AttemptId> running = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            if (random.nextInt(3) > 0) {
                AttemptId attempt = new AttemptId("attempt-" + step);
                Result<CapacityBook, RefusalReason> result =
                        current.reserve(attempt, reservation(random.nextInt(1, 900)));
                if (result instanceof Result.Success<CapacityBook, RefusalReason> success) {
                    current = success.value();
                    running.add(attempt);
                }
            } else if (!running.isEmpty()) {
                current = current.release(running.remove(random.nextInt(running.size())));
            }
            assertThat(current.reservations()).hasSize(running.size());
            assertThat(current.heldTokens()).isBetween(0L, 5_000L);
        }
        for (AttemptId attempt : running) {
            current = current.release(attempt);
        }
        assertThat(current.heldTokens()).isZero();
    }
}
