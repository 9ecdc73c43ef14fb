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
}
