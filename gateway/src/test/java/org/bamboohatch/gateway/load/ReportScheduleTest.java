package org.bamboohatch.gateway.load;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportScheduleTest {

    /** With a fixed interval, the reports that a gateway receives grow with the number of gateways. */
    @Test
    void reportsReceivedFromOtherZonesAreLimited() {
        for (int gateways = 9; gateways <= 350; gateways++) {
            double reportsPerSecond = gateways * 1_000.0 / ReportSchedule.farIntervalMillis(gateways);
            assertThat(reportsPerSecond).as("%d gateways", gateways).isLessThan(701);
        }
        assertThat(ReportSchedule.farIntervalMillis(28)).isBetween(100L, 250L);
    }

    @Test
    void fewGatewaysGetReportsAsOftenAsThoseOfTheSameZone() {
        assertThat(ReportSchedule.farIntervalMillis(0)).isEqualTo(ReportSchedule.NEAR_INTERVAL_MS);
        assertThat(ReportSchedule.farIntervalMillis(8)).isEqualTo(ReportSchedule.NEAR_INTERVAL_MS);
    }

    /** A timer that fires every 15 ms costs an idle gateway more processor time than its polls. */
    @Test
    void idleGatewayWakesUpRarely() {
        for (long sinceComplete = 0; sinceComplete < 950; sinceComplete += 50) {
            assertThat(ReportSchedule.nextTickMillis(false, sinceComplete, false, 10_000, 20))
                    .isEqualTo(ReportSchedule.READ_INTERVAL_MS);
        }
        assertThat(ReportSchedule.nextTickMillis(false, 980, false, 10_000, 20)).isEqualTo(20);
    }

    /** A change must reach the zone after 15 ms at most, as with a fixed interval, but no report follows another sooner. */
    @Test
    void changesAreReportedWithinTheInterval() {
        for (long sinceTick = 0; sinceTick < 100; sinceTick++) {
            long delay = ReportSchedule.changeDelayMillis(sinceTick);
            assertThat(delay).isLessThanOrEqualTo(ReportSchedule.NEAR_INTERVAL_MS);
            assertThat(sinceTick + delay).isGreaterThanOrEqualTo(ReportSchedule.NEAR_INTERVAL_MS);
        }
    }

    /** Without a tick of their own, changes would reach other zones only with the next change in this one. */
    @Test
    void changesAreReportedToOtherZonesAfterTheirInterval() {
        assertThat(ReportSchedule.nextTickMillis(false, 0, true, 90, 20)).isEqualTo(30);
        assertThat(ReportSchedule.nextTickMillis(false, 0, true, 500, 20)).isEqualTo(ReportSchedule.NEAR_INTERVAL_MS);
        assertThat(ReportSchedule.nextTickMillis(true, 0, false, 0, 20)).isEqualTo(ReportSchedule.NEAR_INTERVAL_MS);
    }
}
