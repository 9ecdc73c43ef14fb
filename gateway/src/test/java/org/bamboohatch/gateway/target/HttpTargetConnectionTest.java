package org.bamboohatch.gateway.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Connections that end while the request is written. */
class HttpTargetConnectionTest {

    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n\r\npart of the bo";

    private static final String FRAMED = "HTTP/1.1 413 Too large\r\nRequest-Id: a1\r\nContent-Length: 4\r\n\r\nlong";

    private final TargetAddress address = new TargetAddress(new TargetName("target"), 1, "127.0.0.1:9");

    private final BufferBudget budget = new BufferBudget(1 << 20, 1);

    private final TargetConnectionPool pool =
            new TargetConnectionPool(null, "Request-Id", (target, head, requestSentAt) -> {}, budget);

    /** Receives the result of the probe, which a test provides. */
    private Consumer<Boolean> probeResult = running -> {};

    private final HttpTargetConnection connection =
            new HttpTargetConnection(address, "Request-Id", pool, (probed, now, onResult) -> probeResult = onResult);

    private final SlowWrites writes = new SlowWrites();

    private final EmbeddedChannel channel = new EmbeddedChannel(
            writes, connection.new UnrelatedBytesLimit(), new TargetCodec("Request-Id"), connection);

    private final List<String> events = new ArrayList<>();

    /** Holds writes back, as a socket whose buffer is full. */
    private static final class SlowWrites extends ChannelOutboundHandlerAdapter {

        private final List<ChannelPromise> pending = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            pending.add(promise);
        }

        /** Fails the writes and closes the connection, in the order of the socket transport. */
        void reset(EmbeddedChannel closed) {
            pending.forEach(promise -> promise.tryFailure(new IOException("Broken pipe")));
            closed.close();
            closed.runPendingTasks();
        }
    }

    /** Records how the response ends. */
    private final class Events implements ResponseListener {

        @Override
        public void onHead(HttpResponse response) {
            events.add(String.valueOf(response.status().code()));
        }

        @Override
        public void onContent(ByteBuf part) {
            // Only the end is checked.
        }

        @Override
        public void onEnd() {
            events.add("complete");
        }

        @Override
        public void onLost(LossCause cause) {
            events.add("lost");
        }
    }

    private void send() {
        HttpHeaders headers = new DefaultHttpHeaders().set("Request-Id", "a1");
        connection.send(HttpMethod.POST, "/x", headers, new byte[100], new Events());
    }

    private void receive(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        channel.writeInbound(bytes);
    }

    private void close() {
        channel.close();
        channel.runPendingTasks();
    }

    /** Guards against a truncated response that is taken for complete because a write, not a read, met the reset. */
    @Test
    void aResponseWithoutALengthIsLostIfAWriteMeetsTheReset() {
        send();
        receive(UNFRAMED);
        writes.reset(channel);
        assertThat(events).containsExactly("200", "lost");
    }

    @Test
    void aResponseWithoutALengthEndsWithItsConnection() {
        send();
        receive(UNFRAMED);
        close();
        assertThat(events).containsExactly("200");
        probeResult.accept(true);
        assertThat(events).containsExactly("200", "complete");
    }

    /** Guards against a truncated response that is taken for complete because a crash closes connections, too. */
    @Test
    void aResponseWithoutALengthIsLostIfItsTargetHasEnded() {
        send();
        receive(UNFRAMED);
        close();
        probeResult.accept(false);
        assertThat(events).containsExactly("200", "lost");
    }

    /** Guards against an empty success where a target closed its connection right after the head. */
    @Test
    void aResponseWithoutALengthIsLostIfItHasNoBody() {
        send();
        receive("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n\r\n");
        close();
        assertThat(events).containsExactly("200", "lost");
    }

    @Test
    void aFailureWithoutALengthNeedsNoBody() {
        send();
        receive("HTTP/1.1 404 Not Found\r\nRequest-Id: a1\r\n\r\n");
        close();
        probeResult.accept(true);
        assertThat(events).containsExactly("404", "complete");
    }

    @Test
    void aResponseThatCannotHaveABodyIsCompleteWithItsHead() {
        send();
        receive("HTTP/1.1 204 No Content\r\nRequest-Id: a1\r\n\r\n");
        assertThat(events).containsExactly("204", "complete");
    }

    /** Guards against a request that waits until its deadline because its response was read as part of a late one. */
    @Test
    void aRequestIsLostIfALateResponseBeforeItsOwnIsCut() {
        send();
        receive("HTTP/1.1 200 OK\r\nRequest-Id: late\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal" + FRAMED);
        assertThat(events).containsExactly("lost");
    }

    @Test
    void aCancelledRequestHasNoEndEvenIfItsConnectionHasEnded() {
        send();
        receive(UNFRAMED);
        close();
        connection.cancel();
        probeResult.accept(true);
        assertThat(events).containsExactly("200");
        assertThat(budget.heldBytes()).isZero();
    }

    @Test
    void anEarlyResponseWithALengthIsCompleteInSpiteOfTheReset() {
        send();
        receive(FRAMED);
        writes.reset(channel);
        assertThat(events).containsExactly("413", "complete");
    }

    /** Guards against a request that waits until its deadline on a connection that had ended before. */
    @Test
    void aRequestOnAConnectionThatHasEndedIsLostAtOnce() {
        close();
        HttpHeaders headers = new DefaultHttpHeaders().set("Request-Id", "a1");
        connection.send(HttpMethod.POST, "/x", headers, new byte[100], new Events());
        writes.reset(channel);
        assertThat(events).containsExactly("lost");
    }
}
