package org.bamboohatch.routing.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Processes that know only of their own requests send a cold target no more in any second than its rate. */
class ColdScheduleTest {

    private static final long COLD_MS = 20_000;

    /** Returns the largest number of requests in a second if each process sends whenever it may and has a request. */
    private static int mostPerSecond(double perSecond, int processes, double demand, Random random) {
        List<ColdSchedule> schedules = new ArrayList<>();
        for (int process = 0; process < processes; process++) {
            long estimate = COLD_MS + random.nextInt((int) ColdSchedule.SKEW_MS);
            schedules.add(ColdSchedule.of(perSecond, estimate));
        }
        long seed = random.nextLong();
        List<Long> sends = new ArrayList<>();
        for (long now = 0; now < COLD_MS; now += 5) {
            for (int process = 0; process < processes; process++) {
                int self = process;
                ColdSchedule schedule = schedules.get(process);
                long slot = schedule.nextSlot(
                        number -> new Random(seed ^ number * 0x9E3779B97F4A7C15L).nextInt(processes) == self, now);
                if (schedule.beginOf(slot) <= now && random.nextDouble() < demand) {
                    assertThat(schedule.isPast(slot, now)).isFalse();
                    schedules.set(process, schedule.afterSend(slot));
                    sends.add(now);
                }
            }
        }
        int most = 0;
        for (int first = 0; first < sends.size(); first++) {
            long begin = sends.get(first);
            most = Math.max(most, (int) sends.stream()
                    .filter(sent -> sent >= begin && sent < begin + 1_000)
                    .count());
        }
        return most;
    }

    @Property(tries = 60, seed = "31")
    void noSecondHasMoreThanTheRate(
            @ForAll @DoubleRange(min = 1, max = 20) double perSecond,
            @ForAll @IntRange(min = 1, max = 40) int processes,
            @ForAll @DoubleRange(min = 0.01, max = 1) double demand,
            @ForAll long seed) {
        assertThat((double) mostPerSecond(perSecond, processes, demand, new Random(seed)))
                .isLessThanOrEqualTo(perSecond);
    }

    @Test
    void theRateIsUsedIfEachProcessHasRequests() {
        assertThat(mostPerSecond(6, 30, 1, new Random(3))).isBetween(4, 6);
    }

    @Test
    void aRateBelowOneLeavesMoreThanItsIntervalBetweenRequests() {
        ColdSchedule schedule = ColdSchedule.of(0.5, 10_000);
        long first = schedule.nextSlot(slot -> true, 0);
        long second = schedule.afterSend(first).nextSlot(slot -> true, schedule.beginOf(first));
        assertThat(schedule.beginOf(second) - schedule.beginOf(first)).isGreaterThanOrEqualTo(2_000);
    }

    /** Otherwise a second that belongs half to each cold time could get the requests of both. */
    @Test
    void anotherColdTimeBeginsASecondAfterTheRequestsOfThePreviousOne() {
        ColdSchedule schedule = ColdSchedule.of(2, 10_000).withEnd(15_000, 9_000);
        assertThat(schedule.beginOf(schedule.nextSlot(slot -> true, 9_000))).isGreaterThanOrEqualTo(10_000);
    }

    /** A better estimate of the same end would otherwise allow a second request in a slot. */
    @Test
    void usedSlotsRemainUsedWhenTheEndIsEstimatedAnew() {
        ColdSchedule schedule = ColdSchedule.of(2, 10_000);
        long slot = schedule.nextSlot(number -> true, 5_000);
        ColdSchedule corrected = schedule.afterSend(slot).withEnd(9_990, 5_000);
        assertThat(corrected.nextSlot(number -> true, 5_000)).isGreaterThan(slot);
    }

    /** What a limit that a target names is kept with bounds the mean, but not each second. */
    @Test
    void intervalsThatBeginIndependentlyExceedTheRateInSomeSecond() {
        Random random = new Random(5);
        List<RateShare> shares = new ArrayList<>();
        for (int process = 0; process < 30; process++) {
            shares.add(RateShare.first(4, 30, random.nextDouble(), 0));
        }
        List<Long> sends = new ArrayList<>();
        for (long now = 0; now < COLD_MS; now += 5) {
            for (int process = 0; process < shares.size(); process++) {
                if (shares.get(process).nextSendAt(now) <= now && random.nextDouble() < 0.02) {
                    shares.set(process, shares.get(process).afterSend(shares.size(), now));
                    sends.add(now);
                }
            }
        }
        long most = sends.stream()
                .mapToLong(begin -> sends.stream()
                        .filter(sent -> sent >= begin && sent < begin + 1_000)
                        .count())
                .max()
                .orElse(0);
        assertThat(most).isGreaterThan(6);
    }

    /** A rate beyond all need, which an operator may write for none. */
    @Test
    void anInfiniteRateDoesNotHoldRequestsOff() {
        ColdSchedule schedule = ColdSchedule.of(Double.POSITIVE_INFINITY, 10_000);
        assertThat(schedule.beginOf(schedule.nextSlot(slot -> slot % 30 == 0, 5_000)))
                .isLessThanOrEqualTo(5_000);
    }
}
