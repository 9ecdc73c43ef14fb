package org.bamboohatch.protocol.transport;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.message.ConnectionMessage;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.Frame;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.protocol.transport.Connection.ConnectionLostException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Replies that are cut, too long, late or repeated: none is taken for the reply to a request. */
@Timeout(60)
class ReplyTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final Network network = new Network(1, new Timeline("test", 16));

    private final BlockingQueue<Frame> requests = new LinkedBlockingQueue<>();

    private ServerSocket listener;

    private volatile DataOutputStream output;

    private Connection connection;

    /**
     * Loads the codec. The first message takes longer on a busy machine than a connection waits for a sign of life, and the
     * other end of the connection is part of this process.
     */
    @BeforeAll
    static void loadCodec() throws IOException {
        MessageCodec codec = MessageCodec.instance();
        codec.decode(codec.encode(new Frame(0, false, 1, new ConnectionMessage.Pong(null))), Frame.class);
        codec.decode(codec.encode(new Frame(0, true, 1, reply(1))), Frame.class);
    }

    @BeforeEach
    void connect() throws Exception {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        Thread server = new Thread(this::serve, "server");
        server.setDaemon(true);
        server.start();
        connection = new Link(network, "127.0.0.1:" + listener.getLocalPort(), status -> {})
                .connect()
                .get(20, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws IOException {
        listener.close();
        network.stop();
    }

    /** Answers heartbeats and collects the other frames. */
    private void serve() {
        try (Socket socket = listener.accept()) {
            output = new DataOutputStream(socket.getOutputStream());
            DataInputStream input = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] bytes = new byte[input.readInt()];
                input.readFully(bytes);
                Frame frame = MessageCodec.instance().decode(bytes, Frame.class);
                if (frame.body() instanceof ConnectionMessage.Ping) {
                    write(new Frame(0, false, 1, new ConnectionMessage.Pong(null)));
                } else {
                    requests.add(frame);
                }
            }
        } catch (IOException ended) {
            // The connection was closed.
        }
    }

    private synchronized void write(Frame frame) throws IOException {
        byte[] bytes = MessageCodec.instance().encode(frame);
        output.writeInt(bytes.length);
        output.write(bytes);
    }

    private CompletableFuture<Message> call(Duration timeout) {
        return connection.call(new ControlRequest.GetStatus(), timeout);
    }

    private static Message reply(long version) {
        return new ControlReply.FleetReplaced(version);
    }

    private long stream() throws InterruptedException {
        return requests.poll(20, TimeUnit.SECONDS).stream();
    }

    private static void assertLost(CompletableFuture<Message> call) {
        assertThatThrownBy(() -> call.get(20, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(ConnectionLostException.class);
    }

    @Test
    void aReplyThatIsCutIsLost() throws Exception {
        CompletableFuture<Message> call = call(TIMEOUT);
        byte[] bytes = MessageCodec.instance().encode(new Frame(stream(), true, 1, reply(1)));
        synchronized (this) {
            output.writeInt(bytes.length);
            output.write(bytes, 0, bytes.length - 1);
            output.close();
        }
        assertLost(call);
    }

    @Test
    void aReplyOverTheMaximumLengthIsLost() throws Exception {
        CompletableFuture<Message> call = call(TIMEOUT);
        stream();
        synchronized (this) {
            output.writeInt(Pipeline.MAX_FRAME_BYTES + 1);
        }
        assertLost(call);
    }

    @Test
    void aReplyAfterItsTimeoutIsNotTheReplyToTheNextRequest() throws Exception {
        CompletableFuture<Message> first = call(Duration.ofMillis(1));
        long firstStream = stream();
        assertThatThrownBy(() -> first.get(20, TimeUnit.SECONDS)).hasCauseInstanceOf(TimeoutException.class);
        CompletableFuture<Message> second = call(TIMEOUT);
        long secondStream = stream();
        write(new Frame(firstStream, true, 1, reply(1)));
        write(new Frame(firstStream, true, 1, reply(1)));
        write(new Frame(secondStream, true, 1, reply(2)));
        write(new Frame(secondStream, true, 1, reply(3)));
        assertThat(second.get(20, TimeUnit.SECONDS)).isEqualTo(reply(2));
    }

    /** Guards against a reply that was started while its connection ended and stays open for ever. */
    @Test
    void aRequestOnAnEndedConnectionIsLost() throws Exception {
        synchronized (this) {
            output.close();
        }
        assertLost(call(TIMEOUT));
        assertLost(call(TIMEOUT));
    }
}
