package org.bamboohatch.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.gateway.target.LossCause;
import org.bamboohatch.gateway.target.ResponseListener;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetConnectionPool;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A target sends the response to a memory command a second time when the next command arrives. Commands have no id, so the
 * late copy could be taken for the response to the next command: memory would count as reserved that is not.
 */
@Timeout(30)
class RepeatedCommandResponseTest {

    private static final String RESERVED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private static final String REFUSED = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    private final TargetConnectionPool pool = new TargetConnectionPool(
            loop, "Request-Id", (target, head, requestSentAt) -> {}, new BufferBudget(1 << 20, 1));

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully();
    }

    @Test
    void theNextCommandGetsItsOwnResponse() throws Exception {
        CountDownLatch firstAnswered = new CountDownLatch(1);
        FakeTarget.Script script = (received, connection) -> {
            boolean first = firstAnswered.getCount() > 0;
            boolean sameConnection = "first".equals(Thread.currentThread().getName());
            if (first) {
                Thread.currentThread().setName("first");
            }
            FakeTarget.write(connection, first ? RESERVED : (sameConnection ? RESERVED : "") + REFUSED);
            firstAnswered.countDown();
            return true;
        };
        try (FakeTarget target = new FakeTarget(script)) {
            TargetAddress address = new TargetAddress(new TargetName("engine"), 1, target.address());
            assertThat(List.of(send(address).get(), send(address).get())).containsExactly(200, 409);
        }
    }

    private CompletableFuture<Integer> send(TargetAddress address) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.HOST, address.address());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length));
        loop.execute(() -> pool.acquire(
                address,
                true,
                false,
                1_000,
                GatewayClock.now(),
                connection -> connection.send(HttpMethod.POST, "/memory", headers, body, new StatusListener(status))));
        return status;
    }

    /** Completes with the status of the response once it has ended. */
    private static final class StatusListener implements ResponseListener {

        private final CompletableFuture<Integer> status;

        private int received;

        StatusListener(CompletableFuture<Integer> status) {
            this.status = status;
        }

        @Override
        public void onHead(HttpResponse response) {
            received = response.status().code();
        }

        @Override
        public void onContent(ByteBuf part) {
            // Only the status is checked.
        }

        @Override
        public void onEnd() {
            status.complete(received);
        }

        @Override
        public void onLost(LossCause cause) {
            status.completeExceptionally(new IllegalStateException(cause.reason()));
        }
    }
}
