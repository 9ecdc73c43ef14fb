package org.bamboohatch.gateway.target;

import java.util.List;
import java.util.stream.IntStream;

import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Gateways that take the slots of others which are still there would exceed the rate of a cold target together. */
class ColdSharesTest {

    private static final TargetIncarnation TARGET = new TargetIncarnation(new TargetName("t"), 1);

    private static final List<String> GATEWAYS =
            IntStream.range(0, 30).mapToObj(each -> "gateway-" + each).toList();

    /** Sends as often as the shares of a gateway allow, and returns the number of requests. */
    private static int sends(ColdShares shares, long from, long until) {
        int count = 0;
        for (long now = from; now < until; now++) {
            if (shares.nextSendAt(TARGET, now) <= now) {
                shares.recordSend(TARGET, now);
                count++;
            }
        }
        return count;
    }

    /** The first reply of a new leader lists the gateways that have polled it, at first only the one that it replies to. */
    @Test
    void aGatewayDoesNotTakeTheSlotsOfThoseThatANewLeaderDoesNotKnowYet() {
        int sent = 0;
        for (String gateway : GATEWAYS) {
            ColdShares shares = new ColdShares();
            shares.setGateways(GATEWAYS, gateway, 0);
            shares.put(TARGET, 4, 60_000, 0);
            shares.setGateways(List.of(gateway), gateway, 1_000);
            sent += sends(shares, 1_000, 4_000);
        }
        assertThat(sent).as("slots of 375 ms in 3.4 s").isBetween(7, 10);
    }

    /** Otherwise the slots of a gateway that has left would remain unused. */
    @Test
    void theSlotsOfAGatewayThatHasLeftAreTakenOver() {
        ColdShares shares = new ColdShares();
        shares.setGateways(GATEWAYS, "gateway-0", 0);
        shares.put(TARGET, 4, 60_000, 0);
        shares.setGateways(List.of("gateway-0"), "gateway-0", 1_000);
        sends(shares, 1_000, 1_000 + ColdShares.RETENTION_MS);
        assertThat(sends(shares, 1_000 + ColdShares.RETENTION_MS, 14_000 + ColdShares.RETENTION_MS))
                .isGreaterThan(30);
    }
}
