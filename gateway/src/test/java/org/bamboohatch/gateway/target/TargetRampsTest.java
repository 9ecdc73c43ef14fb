package org.bamboohatch.gateway.target;

import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Gateways that each see a few responses of a target learn its limit together, whatever reports are lost. */
class TargetRampsTest {

    private static final TargetIncarnation TARGET = new TargetIncarnation(new TargetName("engine-a"), 7);

    private static final int SLOTS = 8;

    private final TargetRamps first = new TargetRamps(TargetRamps.Observer.Disabled.INSTANCE);

    private final TargetRamps second = new TargetRamps(TargetRamps.Observer.Disabled.INSTANCE);

    private final TargetRamps.PendingReport report = first.newReport();

    @BeforeEach
    void bothBegin() {
        first.begin(TARGET, SLOTS, 0);
        second.begin(TARGET, SLOTS, 50);
    }

    private void succeed(int times, long now) {
        for (int time = 0; time < times; time++) {
            first.recordResponse(TARGET, now - 50, true, now);
        }
    }

    @Test
    void whatOneGatewayLearnsHoldsAtAnother() {
        succeed(2, 100);
        assertThat(second.holdOff(TARGET, 3, 110)).isTrue();
        report.takeChanges().forEach(statement -> second.apply(statement, 120));
        assertThat(second.holdOff(TARGET, 3, 130)).isFalse();
        assertThat(second.holdOff(TARGET, 4, 130)).isTrue();
    }

    /** The report of the last change may be lost; the ramp would then last at gateways without requests to the target. */
    @Test
    void theEndOfARampIsReportedAgain() {
        succeed(6, 100);
        assertThat(first.size()).isZero();
        report.takeChanges();
        report.takeAll(1_100).forEach(statement -> second.apply(statement, 1_110));
        assertThat(second.size()).isZero();
        assertThat(report.takeAll(20_000)).isEmpty();
    }

    /** Gateways would otherwise limit a target that only one of them could not reach. */
    @Test
    void aReportBeginsNoRamp() {
        TargetRamps third = new TargetRamps(TargetRamps.Observer.Disabled.INSTANCE);
        succeed(1, 100);
        report.takeAll(200).forEach(statement -> third.apply(statement, 210));
        assertThat(third.size()).isZero();
        assertThat(third.holdOff(TARGET, 100, 220)).isFalse();
    }

    @Test
    void aFailureHalvesTheLimitOnceAtAllGateways() {
        succeed(4, 100);
        report.takeChanges().forEach(statement -> second.apply(statement, 110));
        first.recordFailure(TARGET, 2_000);
        first.recordFailure(TARGET, 2_100);
        report.takeChanges().forEach(statement -> second.apply(statement, 2_200));
        report.takeAll(3_000).forEach(statement -> second.apply(statement, 3_100));
        assertThat(second.holdOff(TARGET, 2, 3_200)).isFalse();
        assertThat(second.holdOff(TARGET, 3, 3_200)).isTrue();
    }

    @Test
    void aRampThatNothingNeedsEnds() {
        first.expire(29_000);
        assertThat(first.size()).isEqualTo(1);
        first.expire(31_000);
        assertThat(first.size()).isZero();
    }
}
