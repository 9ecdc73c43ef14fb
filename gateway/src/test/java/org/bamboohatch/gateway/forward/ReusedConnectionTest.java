package org.bamboohatch.gateway.forward;

import java.util.concurrent.CountDownLatch;

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

    /** The codec matches responses to methods by their order, so the body of a later response was taken for that of a head. */
    @Test
    void aSecondResponseToAHeadRequestTakesNoBytesOfTheNextOne() throws Exception {
        CountDownLatch nextReceived = new CountDownLatch(1);
        CountDownLatch lateWritten = new CountDownLatch(1);
        FakeTarget.Script answeringHeadsTwice = (received, connection) -> {
            String text = answer(received.id(), "body of " + received.id());
            if (!received.line().startsWith("HEAD")) {
                nextReceived.countDown();
                lateWritten.await();
                write(connection, text);
                return true;
            }
            String head = text.substring(0, text.indexOf("\r\n\r\n") + 4);
            write(connection, head);
            Thread late = new Thread(() -> {
                try {
                    nextReceived.await();
                    write(connection, head);
                } catch (java.io.IOException | InterruptedException ended) {
                    // The connection is not used again.
                } finally {
                    lateWritten.countDown();
                }
            });
            late.start();
            return true;
        };
        try (FakeTarget target = new FakeTarget(answeringHeadsTwice);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("HEAD", "/read/x", "a1", "", ""))).startsWith("HTTP/1.1 200");
            assertThat(gateway.call(request("GET", "/read/x", "a2", "", "")))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("body of a2");
        }
    }

    /** What follows a switch of protocols is no response, so the request waited until its deadline. */
    @Test
    void aSwitchOfProtocolsIsNoResponse() throws Exception {
        FakeTarget.Script switching = (received, connection) -> {
            write(connection, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n");
            return true;
        };
        try (FakeTarget target = new FakeTarget(switching);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 502")
                    .contains("malformed");
        }
    }
}
