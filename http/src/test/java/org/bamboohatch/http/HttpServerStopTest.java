package org.bamboohatch.http;

import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** A stop of the server cuts off no response. */
@Timeout(30)
class HttpServerStopTest {

    /** More than the buffers of both sockets hold. */
    private static final int RESPONSE_BYTES = 32 * 1024 * 1024;

    /** Guards against a response being cut off that is written, but not read by its caller, when the server stops. */
    @Test
    void aResponseThatIsBeingReadIsCompletedByAStop() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        CountDownLatch written = new CountDownLatch(1);
        HttpServerService server = new HttpServerService("127.0.0.1:" + port, 8, new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                response.write(true, ByteBuffer.allocate(RESPONSE_BYTES), callback);
                written.countDown();
                return true;
            }
        });
        server.start();
        try (Socket caller = new Socket("127.0.0.1", port)) {
            caller.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            written.await();
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(server::stop);
            // Enough for a stop that does not wait.
            Thread.sleep(500);
            assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(RESPONSE_BYTES);
            stopped.get();
        }
    }
}
