package org.bamboohatch.gateway.forward;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Guards against a connection that is used again although the next response on it could not be told from another one. */
@Timeout(30)
class ReusedConnectionTest {

    /** The second response without an id was taken for a late one, and its request waited until its deadline. */
    @Test
    void aTargetThatRepeatsNoIdsAnswersEachRequest() throws Exception {
        FakeTarget.Script withoutIds = (received, connection) -> {
            write(connection, answer("", "body of " + received.id()).replace("Request-Id: \r\n", ""));
            return true;
        };
        try (FakeTarget target = new FakeTarget(withoutIds);
                GatewayHarness gateway = new GatewayHarness(target)) {
            for (int number = 0; number < 3; number++) {
                assertThat(gateway.call(request("POST", "/order/x", "a" + number, "", "crates")))
                        .endsWith("body of a" + number);
            }
        }
    }
}
