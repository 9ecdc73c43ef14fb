package org.bamboohatch.gateway.load;

import java.util.List;
import java.util.Map;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.routing.wait.WaitingElsewhere;
import org.bamboohatch.routing.wait.WaitingElsewhere.Report;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What gateways know of each other's waiting requests. */
class WaitingWorkTest {

    private static final ServiceName SERVICE = new ServiceName("engines");

    private static final AccountName ACCOUNT = new AccountName("oaxaca");

    private final WaitingWork first = new WaitingWork("first");

    private final WaitingWork second = new WaitingWork("second");

    private final WaitingWork.PendingReport pending = first.newReport();

    private void report(boolean complete, long now) {
        second.apply("gateway-1", pending.take(complete, now).orElse(null), now);
    }

    private WaitingElsewhere known(long now) {
        return second.elsewhere(SERVICE, true, now);
    }

    @Test
    void othersLearnWhatWaitsAndThatNothingWaitsAnyMore() {
        Report waiting = new Report(1, 7_000, 2, 3_500);
        first.setOwn(SERVICE, List.of(waiting));
        report(false, 1_000);
        assertThat(known(1_000).reports()).containsExactly(waiting);
        assertThat(second.elsewhere(new ServiceName("other"), true, 1_000)).isEqualTo(WaitingElsewhere.NONE);
        assertThat(pending.take(false, 1_100)).isEmpty();
        first.setOwn(SERVICE, List.of());
        report(false, 1_200);
        assertThat(known(1_200)).isEqualTo(WaitingElsewhere.NONE);
    }

    /** Guards against a gateway that is lost or cut off and for whose requests the others keep engines free for ever. */
    @Test
    void whatWasReportedExpiresIfReportsAreLost() {
        first.setOwn(SERVICE, List.of(new Report(1, 7_000, 2, 3_500)));
        report(false, 1_000);
        assertThat(known(3_999).reports()).hasSize(1);
        assertThat(known(4_000)).isEqualTo(WaitingElsewhere.NONE);
    }

    @Test
    void theTokensOfAnAccountAreThoseOfAllGateways() {
        first.recordServed(ACCOUNT, 300_000, 1_000);
        second.recordServed(ACCOUNT, 200_000, 1_000);
        report(true, 1_000);
        assertThat(known(1_000).served()).isEqualTo(Map.of(ACCOUNT, 500_000.0));
        report(true, 11_000);
        assertThat(known(11_000).served().get(ACCOUNT)).isEqualTo(250_000.0);
    }

    /** A gateway without queue sends the reports of the previous version. */
    @Test
    void aGatewayWithoutWaitingRequestsReportsNothing() {
        assertThat(pending.take(true, 1_000)).isEmpty();
        second.apply("gateway-1", null, 1_000);
        assertThat(known(1_000)).isEqualTo(WaitingElsewhere.NONE);
    }
}
