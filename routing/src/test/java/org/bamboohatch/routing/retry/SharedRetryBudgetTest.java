package org.bamboohatch.routing.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bamboohatch.routing.retry.SharedRetryBudget.Limits;

import static org.assertj.core.api.Assertions.assertThat;

class SharedRetryBudgetTest {

    private static final long WINDOW_MS = 10_000;

    /**
     * Guards against processes that together exceed the budget in a window. Processes are picked at random and spend
     * every available token at once.
     */
    @Property(tries = 50, seed = "11")
    void retriesOfAllProcessesStayWithinSharedBudget(
            @ForAll @IntRange(min = 1, max = 8) int processes, @ForAll long seed) {
        Limits limits = new Limits(0.2, 106, WINDOW_MS, processes);
        SplittableRandom random = new SplittableRandom(seed);
        SharedRetryBudget[] budgets = new SharedRetryBudget[processes];
        for (int process = 0; process < processes; process++) {
            budgets[process] = SharedRetryBudget.full(limits, 0);
        }
        Deque<Long> retries = new ArrayDeque<>();
        Deque<Long> requests = new ArrayDeque<>();
        for (long now = 0; now < 60_000; now += 5) {
            int process = random.nextInt(processes);
            SharedRetryBudget budget = budgets[process].refill(limits, now);
            if (random.nextInt(10) == 0) {
                requests.add(now);
                budget = budget.earn(limits);
            }
            while (budget.allowsRetry()) {
                budget = budget.spend();
                retries.add(now);
            }
            budgets[process] = budget;
            while (!retries.isEmpty() && retries.peek() < now - WINDOW_MS) {
                retries.poll();
            }
            while (!requests.isEmpty() && requests.peek() < now - 2 * WINDOW_MS) {
                requests.poll();
            }
            assertThat(retries.size()).isLessThanOrEqualTo((int) (0.2 * requests.size() + 106) + 1);
        }
    }

    @Example
    void emptyBudgetRefillsOverTime() {
        Limits limits = new Limits(0, 100, WINDOW_MS, 1);
        SharedRetryBudget spent = new SharedRetryBudget(0, 0);
        assertThat(spent.refill(limits, 100).allowsRetry()).isFalse();
        assertThat(spent.refill(limits, 1_000).allowsRetry()).isTrue();
    }

    @Example
    void clockThatGoesBackRefillsNothing() {
        Limits limits = new Limits(0, 100, WINDOW_MS, 1);
        assertThat(new SharedRetryBudget(0, 5_000).refill(limits, 4_000).tokens())
                .isZero();
    }
}
