package org.bamboohatch.entry.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.bamboohatch.entry.request.CallerSink;
import org.bamboohatch.http.HttpServerService;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class PlainCallSinkTest {

    private HttpServerService server;

    @AfterEach
    void stop() {
        server.stop();
    }

    /** Sends a request whose target has answered with a status and no body, and then one for a body. */
    private String responses(String method, int status) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        server = new HttpServerService("127.0.0.1:" + port, 8, new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                CallerSink sink = new CallerSinks.ForBufferedPlainCall(response, callback);
                if (request.getMethod().equals("GET")) {
                    sink.chunk("whole".getBytes(StandardCharsets.UTF_8), 0);
                }
                sink.complete(request.getMethod().equals("GET") ? 200 : status, "text/plain", "");
                return true;
            }
        });
        server.start();
        String requests =
                method + " / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        try (Socket caller = new Socket("127.0.0.1", port)) {
            caller.getOutputStream().write(requests.getBytes(StandardCharsets.UTF_8));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Guards against a HEAD response that states a body of no bytes, and against bytes that belong to no response. */
    @ParameterizedTest
    @ValueSource(ints = {200, 204, 304, 404})
    void aHeadResponseStatesNoLength(int status) throws IOException {
        String[] responses = responses("HEAD", status).split("\r\n\r\n", 3);
        assertThat(responses[0]).startsWith("HTTP/1.1 " + status).doesNotContain("Content-Length");
        assertThat(responses[1]).startsWith("HTTP/1.1 200").contains("Content-Length: 5");
        assertThat(responses[2]).isEqualTo("whole");
    }
}
