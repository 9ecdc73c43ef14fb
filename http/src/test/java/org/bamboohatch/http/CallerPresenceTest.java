package org.bamboohatch.http;

import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against orders that are carried out after their caller has left, and against requests lost by looking for that. */
@Timeout(30)
class CallerPresenceTest {

    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final BlockingQueue<Pending> pending = new LinkedBlockingQueue<>();

    private HttpServerService server;

    private int port;

    /** A request that is being handled. */
    private record Pending(CallerPresence caller, Response response, Callback callback) {

        void answer() {
            JsonResponse.write(response, callback, 200, "done");
        }
    }

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        server = new HttpServerService("127.0.0.1:" + port, 8, new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                pending.add(new Pending(CallerPresence.of(request), response, callback));
                return true;
            }
        });
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private static String readAnswer(InputStream stream) throws Exception {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\"done\"") < 0) {
            text.append((char) stream.read());
        }
        return text.toString();
    }

    @Test
    void aCallerThatClosesItsConnectionHasLeft() throws Exception {
        Pending request;
        try (Socket caller = new Socket("127.0.0.1", port)) {
            caller.getOutputStream().write(REQUEST);
            request = pending.take();
            assertThat(request.caller().hasLeft()).isFalse();
        }
        while (!request.caller().hasLeft()) {
            Thread.sleep(5);
        }
        request.callback().failed(new java.io.IOException("the caller has left"));
    }

    @Test
    void aRequestThatArrivesBehindTheFirstOneIsNotLost() throws Exception {
        try (Socket caller = new Socket("127.0.0.1", port)) {
            caller.getOutputStream().write(REQUEST);
            Pending first = pending.take();
            assertThat(first.caller().hasLeft()).isFalse();
            caller.getOutputStream().write(REQUEST);
            Thread.sleep(50);
            assertThat(first.caller().hasLeft()).isFalse();
            assertThat(first.caller().hasLeft()).isFalse();
            first.answer();
            assertThat(readAnswer(caller.getInputStream())).startsWith("HTTP/1.1 200");
            pending.take().answer();
            assertThat(readAnswer(caller.getInputStream())).startsWith("HTTP/1.1 200");
        }
    }
}
