package org.bamboohatch.entry;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.routing.RoutingPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** A stopping entry admits no request. */
@Timeout(30)
class EntryStopTest {

    private static final String REQUEST =
            "POST /services/portal/orders HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: 6\r\n\r\n";

    /** Guards against a request being admitted, and cut off, whose body arrives after the admitted ones have ended. */
    @Test
    void aRequestWhoseBodyArrivesAfterTheStopIsRefusedAsNotRun() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        String address = "127.0.0.1:" + port;
        EntryComponent component = DaggerEntryComponent.factory()
                .create(new EntrySettings(
                        new HostName("entry-1"),
                        new ZoneName("zone-a"),
                        address,
                        "127.0.0.1:0",
                        List.of("127.0.0.1:2"),
                        RoutingPolicy.FAIR_PREDICTED,
                        1));
        HttpServerService server = new HttpServerService(address, 8, component.callerHandler());
        server.start();
        component.gate().start();
        try (Socket caller = new Socket("127.0.0.1", port)) {
            write(caller, REQUEST.replace("Content-Length: 6", "Expect: 100-continue\r\nContent-Length: 6"));
            // The interim response shows that the entry has begun to read the body.
            assertThat(new String(caller.getInputStream().readNBytes(12), StandardCharsets.UTF_8))
                    .isEqualTo("HTTP/1.1 100");
            component.gate().stop();
            write(caller, "crates");
            assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .contains("HTTP/1.1 503")
                    .contains("not-run");
        } finally {
            server.stop();
        }
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }
}
