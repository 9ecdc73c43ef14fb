package org.bamboohatch.routing.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.routing.Requests;
import org.bamboohatch.routing.WaitingRequest;

import static org.assertj.core.api.Assertions.assertThat;

class QueueOrderTest {

    /** Maximum request size in {@link #backloggedAccountsAreServedEqually}, in tokens; the basis of its bound. */
    private static final long MAX_REQUEST_TOKENS = 30_010;

    private final ServedTokens served = new ServedTokens();

    private WaitingRequest first(List<WaitingRequest> waiting, long now) {
        return QueueOrder.ForFairShares.INSTANCE
                .candidates(waiting, served, now)
                .get(0);
    }

    @Example
    void leastServedAccountComesFirst() {
        served.recordServed(Requests.of("a", 1_000, 0, 60_000));
        WaitingRequest ofA = Requests.of("a", 100, 0, 60_000);
        WaitingRequest ofB = Requests.of("b", 9_000, 1, 60_000);
        assertThat(first(List.of(ofA, ofB), 10)).isEqualTo(ofB);
    }

    @Example
    void shorterPromptComesFirstWithinAccount() {
        WaitingRequest longer = Requests.of("a", 90_000, 0, 600_000);
        WaitingRequest shorter = Requests.of("a", 1_000, 5, 600_000);
        assertThat(first(List.of(longer, shorter), 10)).isEqualTo(shorter);
    }

    @Example
    void waitingPromotesLongPrompt() {
        WaitingRequest longer = Requests.of("a", 90_000, 0, 600_000);
        WaitingRequest shorter = Requests.of("a", 1_000, 8_000, 600_000);
        assertThat(first(List.of(longer, shorter), 8_000)).isEqualTo(longer);
    }

    @Example
    void requestCloseToDeadlineComesFirst() {
        WaitingRequest due = Requests.of("a", 30_000, 0, 1_000);
        WaitingRequest shorter = Requests.of("a", 1_000, 0, 60_000);
        assertThat(first(List.of(shorter, due), 800)).isEqualTo(due);
    }

    @Example
    void arrivalOrderOffersOnlyFirstRequest() {
        List<WaitingRequest> waiting = List.of(Requests.of("a", 90_000, 0, 1), Requests.of("b", 1, 1, 1));
        assertThat(QueueOrder.ForArrival.INSTANCE.candidates(waiting, served, 0))
                .containsExactly(waiting.get(0));
    }

    @Example
    void idleAccountDoesNotAccumulateShare() {
        for (int number = 0; number < 100; number++) {
            WaitingRequest busy = Requests.of("busy", 1_000, 0, 60_000);
            first(List.of(busy), 0);
            served.recordServed(busy);
        }
        first(List.of(Requests.of("busy", 1_000, 0, 60_000)), 0);
        assertThat(served.weightedTokens(Requests.of("idle", 1, 0, 1).account()))
                .isGreaterThan(90_000);
    }

    @Property(tries = 50, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void backloggedAccountsAreServedEqually(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<WaitingRequest> waiting = new ArrayList<>();
        Map<String, Long> tokens = new HashMap<>(Map.of("a", 0L, "b", 0L, "flood", 0L));
        for (int step = 0; step < 500; step++) {
            while (waiting.stream()
                            .filter(request -> request.account().value().equals("a"))
                            .count()
                    < 3) {
                waiting.add(Requests.of("a", 1_000 + random.nextInt(1_000), step, step + 600_000));
            }
            while (waiting.stream()
                            .filter(request -> request.account().value().equals("b"))
                            .count()
                    < 3) {
                waiting.add(Requests.of("b", 1 + random.nextInt(5_000), step, step + 600_000));
            }
            waiting.add(Requests.of("flood", 20_000 + random.nextInt(10_000), step, step + 600_000));
            WaitingRequest next = first(waiting, step);
            waiting.remove(next);
            served.recordServed(next);
            tokens.merge(next.account().value(), (long) next.weightedTokens(), Long::sum);
            long most =
                    tokens.values().stream().mapToLong(Long::longValue).max().orElseThrow();
            long least =
                    tokens.values().stream().mapToLong(Long::longValue).min().orElseThrow();
            assertThat(most - least).isLessThanOrEqualTo(2 * MAX_REQUEST_TOKENS);
        }
    }
}
