package org.bamboohatch.standin.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against faults that nobody has asked a relay for: they hide or look like faults of the programs beside it. */
@Timeout(60)
class RelayTest {

    private Relay relay;

    @AfterEach
    void stop() {
        relay.stop();
    }

    private interface Exchange {

        void run(Socket client, Socket target) throws IOException;
    }

    private void connect(long delayMillis, long jitterMillis, Exchange exchange) throws IOException {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, local)) {
            port = free.getLocalPort();
        }
        try (ServerSocket listener = new ServerSocket(0, 1, local)) {
            String target = "127.0.0.1:" + listener.getLocalPort();
            relay = new Relay(new RelaySettings("127.0.0.1:" + port, target, "", delayMillis, jitterMillis, 0, 7));
            relay.start();
            try (Socket client = new Socket(local, port);
                    Socket accepted = listener.accept()) {
                exchange.run(client, accepted);
            }
        }
    }

    @Test
    void theEndOfAConnectionDoesNotOvertakeItsData() throws IOException {
        connect(100, 0, (client, target) -> {
            target.getOutputStream().write("whole".getBytes(StandardCharsets.UTF_8));
            target.close();
            assertThat(client.getInputStream().readAllBytes())
                    .asString(StandardCharsets.UTF_8)
                    .isEqualTo("whole");
        });
    }

    @Test
    void dataDoesNotOvertakeEarlierData() throws IOException {
        connect(3, 3, (client, target) -> {
            Thread writing = new Thread(() -> {
                try {
                    for (int number = 0; number < 5_000; number++) {
                        target.getOutputStream().write((byte) number);
                        Thread.yield();
                    }
                    target.shutdownOutput();
                } catch (IOException ended) {
                    // The test has closed the connection.
                }
            });
            target.setTcpNoDelay(true);
            writing.start();
            byte[] received = client.getInputStream().readAllBytes();
            assertThat(received).hasSize(5_000);
            for (int number = 0; number < received.length; number++) {
                assertThat(received[number]).as("byte " + number).isEqualTo((byte) number);
            }
        });
    }

    @Test
    void aResetIsPassedOnAsAReset() throws IOException {
        connect(0, 0, (client, target) -> {
            client.getOutputStream().write(1);
            assertThat(target.getInputStream().read()).isEqualTo(1);
            target.setSoLinger(true, 0);
            target.close();
            assertThatThrownBy(() -> client.getInputStream().read()).isInstanceOf(SocketException.class);
        });
    }
}
