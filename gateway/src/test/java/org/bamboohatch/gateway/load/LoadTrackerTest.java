package org.bamboohatch.gateway.load;

import java.util.Map;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Workload;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadTrackerTest {

    private static final TargetName ENGINE = new TargetName("engine-a");

    private final LoadTracker first = new LoadTracker();

    private final LoadTracker second = new LoadTracker();

    private static LoadTracker.TrackedRequest read(LoadTracker book, double millis, long now) {
        return book.add(ENGINE, 100_000, 101_000, false, true, millis, now);
    }

    private static void tell(LoadTracker from, LoadTracker to, long now) {
        to.report("other", from.drain().changes(), false, now);
    }

    @Test
    void whatSeveralGatewaysGiveAnEngineIsReadOneAfterTheOther() {
        read(first, 300, 0);
        read(second, 300, 0);
        tell(second, first, 0);
        assertThat(first.load(ENGINE, 0).prefillMillis()).isEqualTo(600);
        assertThat(first.load(ENGINE, 300).prefillMillis()).isEqualTo(300);
        assertThat(first.load(ENGINE, 600).prefillMillis()).isZero();
    }

    @Test
    void anEngineThatHasReadAllBeginsAnew() {
        read(first, 300, 0);
        read(first, 100, 1_000);
        assertThat(first.load(ENGINE, 1_000).prefillMillis()).isEqualTo(100);
    }

    @Test
    void readingIsToldOnce() {
        read(second, 300, 0);
        tell(second, first, 0);
        first.report("other", second.drain().whole(), true, 100);
        assertThat(first.load(ENGINE, 100).prefillMillis()).isEqualTo(200);
        assertThat(first.load(ENGINE, 100).runs()).isEqualTo(1);
    }

    @Test
    void aRequestThatEndsIsToldToo() {
        LoadTracker.TrackedRequest ticket = read(second, 300, 0);
        tell(second, first, 0);
        ticket.beginWriting();
        tell(second, first, 50);
        assertThat(first.load(ENGINE, 50).decodingSequences()).isEqualTo(1);
        ticket.end();
        tell(second, first, 100);
        assertThat(first.load(ENGINE, 100).runs()).isZero();
        assertThat(first.load(ENGINE, 100).reservedTokens()).isZero();
    }

    @Test
    void aWholeReportReplacesWhatWasToldBefore() {
        read(second, 300, 0);
        tell(second, first, 0);
        first.report("other", Map.of(), true, 10);
        assertThat(first.load(ENGINE, 10).runs()).isZero();
    }

    @Test
    void anOldReportCountsNoMore() {
        Workload work = new Workload(3, 3, 3, 0, 0, 0);
        first.report("other", Map.of(ENGINE, work), true, 0);
        assertThat(first.load(ENGINE, 2_900).runs()).isEqualTo(3);
        assertThat(first.load(ENGINE, 3_100).runs()).isZero();
    }
}
