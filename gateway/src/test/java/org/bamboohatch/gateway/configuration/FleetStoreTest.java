package org.bamboohatch.gateway.configuration;

import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.FrameServer;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(30)
class FleetStoreTest {

    /** A poll that waits at control. */
    private record Held(Poll poll, Exchange exchange) {

        void answer() {
            exchange.end(new Changes(0, List.of(), 1, 1, List.of(), List.of(), 0, 0, null, List.of(), List.of()));
        }
    }

    private final LinkedBlockingQueue<Held> polls = new LinkedBlockingQueue<>();

    private final class Control implements RequestHandler {

        @Override
        public void handle(Message request, Exchange exchange) {
            if (request instanceof Poll poll) {
                polls.add(new Held(poll, exchange));
            }
        }
    }

    /** After a suspension of 4.6 s a gateway once turned callers away for 0.7 s more, as its poll was held for news. */
    @Test
    void aCopyThatHasGrownOldIsAskedForWithoutWaitingForNews() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        String address = "127.0.0.1:" + port;
        Network network = new Network(1, new Timeline("test", 16));
        FrameServer server = new FrameServer(network, address, new Control());
        server.start();
        GatewaySettings settings = new GatewaySettings(
                new HostName("gateway-1"),
                new ZoneName("zone-a"),
                "",
                "",
                "127.0.0.1:1",
                List.of(address),
                4_000,
                0.2,
                50,
                10_000,
                3_500,
                1_000);
        ControlClient control = new ControlClient(network, List.of(address), Duration.ofSeconds(5));
        FleetStore store = new FleetStore(settings, control, network, () -> List.of(address));
        store.start();
        Held first = next(false);
        first.answer();
        Held held = next(false);
        Held urgent = next(true);
        assertThat(store.ageMillis(GatewayClock.read())).isGreaterThan(500);
        urgent.answer();
        while (store.ageMillis(GatewayClock.read()) > 800) {
            Thread.sleep(5);
        }
        assertThat(store.view().version()).isEqualTo(1);
        held.answer();
        store.stop();
        server.stop();
        network.stop();
    }

    private Held next(boolean urgent) throws InterruptedException {
        while (true) {
            Held poll = polls.poll(10, TimeUnit.SECONDS);
            assertThat(poll).isNotNull();
            if (poll.poll().urgent() == urgent) {
                return poll;
            }
        }
    }
}
