package org.bamboohatch.routing.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bamboohatch.routing.retry.SharedBudget.Terms;

import static org.assertj.core.api.Assertions.assertThat;

class SharedBudgetTest {

    private static final long WINDOW = 10_000;

    /** However greedy the processes are, no window holds more repeated sends than all of them together may make. */
    @Property(tries = 50, seed = "11")
    void noWindowHoldsMoreThanTheSharedBudget(@ForAll @IntRange(min = 1, max = 8) int processes, @ForAll long seed) {
        Terms terms = new Terms(0.2, 106, WINDOW, processes);
        SplittableRandom random = new SplittableRandom(seed);
        SharedBudget[] budgets = new SharedBudget[processes];
        for (int process = 0; process < processes; process++) {
            budgets[process] = SharedBudget.full(terms, 0);
        }
        Deque<Long> sends = new ArrayDeque<>();
        Deque<Long> requests = new ArrayDeque<>();
        for (long now = 0; now < 60_000; now += 5) {
            int process = random.nextInt(processes);
            SharedBudget budget = budgets[process].at(terms, now);
            if (random.nextInt(10) == 0) {
                requests.add(now);
                budget = budget.earn(terms);
            }
            while (budget.covers()) {
                budget = budget.spend();
                sends.add(now);
            }
            budgets[process] = budget;
            while (!sends.isEmpty() && sends.peek() < now - WINDOW) {
                sends.poll();
            }
            while (!requests.isEmpty() && requests.peek() < now - 2 * WINDOW) {
                requests.poll();
            }
            assertThat(sends.size()).isLessThanOrEqualTo((int) (0.2 * requests.size() + 106) + 1);
        }
    }

    @Example
    void anEmptyBudgetFillsWithTime() {
        Terms terms = new Terms(0, 100, WINDOW, 1);
        SharedBudget spent = new SharedBudget(0, 0);
        assertThat(spent.at(terms, 100).covers()).isFalse();
        assertThat(spent.at(terms, 1_000).covers()).isTrue();
    }

    @Example
    void aClockThatStandsStillEarnsNothing() {
        Terms terms = new Terms(0, 100, WINDOW, 1);
        assertThat(new SharedBudget(0, 5_000).at(terms, 4_000).tokens()).isZero();
    }
}
