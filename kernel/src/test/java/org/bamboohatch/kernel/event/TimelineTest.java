package org.bamboohatch.kernel.event;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TimelineTest {

    @Test
    void effectIsAfterCauseOfProcessWithFasterClock() {
        Timeline ahead = new Timeline("ahead", 8);
        Timeline behind = new Timeline("behind", 8);
        ahead.record("r", "cause", "", 5_000);
        behind.observe(ahead.stamp(5_000));
        behind.record("r", "effect", "", 1_000);
        assertThat(behind.events("r").get(0).time())
                .isGreaterThan(ahead.events("r").get(0).time());
    }

    @Test
    void keepsLatestEventsAndCountsOverwrittenOnes() {
        Timeline timeline = new Timeline("p", 4);
        for (int number = 0; number < 10; number++) {
            timeline.record("s", "k" + number, "", number);
        }
        assertThat(timeline.events("")).extracting(Event::kind).containsExactly("k6", "k7", "k8", "k9");
        assertThat(timeline.lost()).isEqualTo(6);
    }

    @Test
    void returnsEventsOfOneSubject() {
        Timeline timeline = new Timeline("p", 4);
        timeline.record("a", "k", "", 1);
        timeline.record("b", "k", "", 1);
        assertThat(timeline.events("b")).hasSize(1);
    }

    @Test
    void timestampsOfOneMillisecondAreOrdered() {
        HybridTime time = new HybridTime(7, 0);
        List<HybridTime> times = List.of(time, time.next(7), time.next(7).next(7), time.next(8));
        assertThat(times).isSorted();
        assertThat(HybridTime.unpack(time.next(7).pack())).isEqualTo(time.next(7));
    }
}
