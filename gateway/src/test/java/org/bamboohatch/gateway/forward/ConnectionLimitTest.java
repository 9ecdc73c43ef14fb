package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.readLine;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Guards against whole responses that are lost because their target, which runs, resets connections beyond its limit. */
@Timeout(30)
class ConnectionLimitTest {

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\n\r\nwhole body";

    /** Answers the first connection and resets all others. */
    private static void serve(ServerSocket listener) {
        try (Socket first = listener.accept()) {
            while (!readLine(first.getInputStream()).isEmpty()) {
                // The head of the request is of no interest.
            }
            first.getInputStream().readNBytes("crates".length());
            write(first, RESPONSE);
            first.close();
            while (true) {
                Socket excess = listener.accept();
                excess.setSoLinger(true, 0);
                excess.close();
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    @Test
    void aResponseWithoutALengthIsCompleteIfItsTargetResetsFurtherConnections() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                GatewayHarness gateway = new GatewayHarness()) {
            Thread serving = new Thread(() -> serve(listener));
            serving.start();
            gateway.applyAddresses(List.of("127.0.0.1:" + listener.getLocalPort()));
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("whole body");
            listener.close();
            serving.join();
        }
    }
}
