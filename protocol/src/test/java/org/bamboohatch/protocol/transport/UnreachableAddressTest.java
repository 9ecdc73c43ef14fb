package org.bamboohatch.protocol.transport;

import java.util.concurrent.CompletableFuture;

import org.bamboohatch.kernel.event.Timeline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against threads that end because another process has announced an address that cannot be parsed: those of a replica
 * and of an entry's dispatcher end their process.
 */
@Timeout(30)
class UnreachableAddressTest {

    private final Network network = new Network(1, new Timeline("test", 16));

    @AfterEach
    void stop() {
        network.stop();
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:x", "127.0.0.1", ":80", ""})
    void aMalformedAddressIsAConnectionThatCannotBeOpened(String address) {
        CompletableFuture<Connection> connection = new Link(network, address, status -> {}).connect();
        assertThat(connection).isCompletedExceptionally();
        assertThat(Network.parseAnnounced(address)).isEmpty();
    }
}
