package org.bamboohatch.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams to callers that read late or not at all. */
@Timeout(60)
class ResponseStreamTest {

    /** More than the buffers of a connection hold. */
    private static final int BLOCKING_BYTES = 16 * 1024 * 1024;

    private final CountDownLatch sent = new CountDownLatch(1);

    private final CountDownLatch disconnected = new CountDownLatch(1);

    private HttpServerService server;

    @AfterEach
    void stop() {
        server.stop();
    }

    /** Starts a server that sends a part which blocks, and then what the parameter adds. */
    private Socket request(Consumer<ResponseStream> parts) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        server = new HttpServerService("127.0.0.1:" + port, 8, new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                ResponseStream stream = new ResponseStream(response, callback, disconnected::countDown);
                stream.begin(200, "text/plain");
                stream.send(new byte[BLOCKING_BYTES]);
                parts.accept(stream);
                sent.countDown();
                return true;
            }
        });
        server.start();
        Socket caller = new Socket();
        caller.setReceiveBufferSize(64 * 1024);
        caller.connect(new InetSocketAddress("127.0.0.1", port));
        caller.setSoTimeout(20_000);
        caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return caller;
    }

    private static String readUntilEnd(Socket caller) throws IOException {
        StringBuilder tail = new StringBuilder();
        byte[] buffer = new byte[65_536];
        try {
            for (int count = caller.getInputStream().read(buffer); count >= 0; ) {
                tail.append(new String(buffer, 0, count, StandardCharsets.UTF_8).replace("\0", ""));
                if (tail.toString().endsWith("\r\n0\r\n\r\n")) {
                    break;
                }
                count = caller.getInputStream().read(buffer);
            }
        } catch (IOException reset) {
            tail.append("reset");
        }
        return tail.toString();
    }

    /** Guards against a stream that is kept in memory for a caller that does not read. */
    @Test
    void aCallerThatDoesNotReadIsDisconnected() throws Exception {
        Consumer<ResponseStream> parts = stream -> {
            for (int part = 0; part < 1_000; part++) {
                stream.send(new byte[16 * 1024]);
            }
            stream.end();
        };
        try (Socket caller = request(parts)) {
            assertThat(sent.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(disconnected.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(readUntilEnd(caller)).doesNotEndWith("\r\n0\r\n\r\n");
        }
    }

    /** Guards against many parts that are written at once when a caller reads on. */
    @Test
    void aCallerThatReadsLateGetsEveryPart() throws Exception {
        Consumer<ResponseStream> parts = stream -> {
            for (int part = 0; part < 100_000; part++) {
                stream.send((part + ";").getBytes(StandardCharsets.UTF_8));
            }
            stream.end();
        };
        try (Socket caller = request(parts)) {
            assertThat(sent.await(20, TimeUnit.SECONDS)).isTrue();
            String text = readUntilEnd(caller);
            assertThat(text).endsWith("\r\n0\r\n\r\n").contains("99999;");
        }
    }
}
