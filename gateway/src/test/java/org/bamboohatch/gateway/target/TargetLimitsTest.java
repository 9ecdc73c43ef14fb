package org.bamboohatch.gateway.target;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** The last word of a target about its limit holds at all gateways, whoever heard it and whatever reports are lost. */
class TargetLimitsTest {

    private static final TargetIncarnation TARGET = new TargetIncarnation(new TargetName("engine-a"), 7);

    private final TargetLimits first = new TargetLimits(new HostName("gateway-1"));

    private final TargetLimits second = new TargetLimits(new HostName("gateway-2"));

    private final TargetLimits.PendingReport report = first.newReport();

    @BeforeEach
    void bothShareLimits() {
        first.setGateways(2);
        second.setGateways(2);
    }

    private void exchange(long now) {
        report.takeChanges().forEach(statement -> second.apply(statement, now));
    }

    private static boolean limits(TargetLimits limits, long now) {
        limits.recordSend(TARGET, now);
        return limits.nextSendAt(TARGET, now) > now;
    }

    @Test
    void aLimitHoldsAtGatewaysThatHeardOfIt() {
        assertThat(first.recordLimit(TARGET, 1, 1_000)).isTrue();
        assertThat(first.recordLimit(TARGET, 1, 1_100)).as("the same again").isFalse();
        exchange(1_200);
        assertThat(limits(first, 1_300)).isTrue();
        assertThat(limits(second, 1_300)).isTrue();
    }

    @Test
    void aResponseWithoutALimitEndsItEverywhere() {
        first.recordLimit(TARGET, 1, 1_000);
        exchange(1_100);
        assertThat(first.recordNoLimit(TARGET, 1_500, 1_600)).isTrue();
        exchange(1_700);
        assertThat(limits(first, 1_800)).isFalse();
        assertThat(limits(second, 1_800)).isFalse();
    }

    /** Responses on different connections overtake each other. */
    @Test
    void aResponseToAnEarlierRequestDoesNotEndALimit() {
        first.recordLimit(TARGET, 1, 1_000);
        assertThat(first.recordNoLimit(TARGET, 950, 1_010)).isFalse();
        assertThat(limits(first, 1_020)).isTrue();
    }

    @Test
    void anOldReportDoesNotBringAnEndedLimitBack() {
        first.recordLimit(TARGET, 1, 1_000);
        TargetLimits.Statement old = report.takeAll(1_100).get(0);
        second.apply(old, 1_100);
        second.recordNoLimit(TARGET, 2_000, 2_100);
        second.apply(old, 2_200);
        assertThat(limits(second, 2_300)).isFalse();
    }

    @Test
    void anotherIncarnationHasNoLimit() {
        first.recordLimit(TARGET, 1, 1_000);
        TargetIncarnation restarted = new TargetIncarnation(TARGET.target(), 8);
        assertThat(first.nextSendAt(restarted, 1_100)).isZero();
    }
}
