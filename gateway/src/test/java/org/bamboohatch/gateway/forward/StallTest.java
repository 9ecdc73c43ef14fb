package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A gateway process or a target that stalls: nothing is sent that nobody waits for, and no stalled stream is kept. */
@Timeout(30)
class StallTest {

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws java.io.IOException {
        write(connection, answer(received.id(), "body of " + received.id()));
        return true;
    }

    /** The deadline passes between the arrival of the request and its send on an open connection. */
    @Test
    void aRequestWhoseDeadlinePassedDuringAStallIsNotSent() throws Exception {
        try (FakeTarget target = new FakeTarget(StallTest::serve);
                GatewayHarness gateway = new GatewayHarness(target)) {
            gateway.call(request("POST", "/order/x", "a1", "", "crates"));
            gateway.stallOnce(400);
            assertThat(gateway.call(request("POST", "/order/x", "a2", "Request-Timeout-Ms: 200\r\n", "crates")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
            assertThat(target.received).hasSize(1);
        }
    }

    /** The caller closes its connection while the process stalls, before its request was read. */
    @Test
    void aRequestWhoseCallerLeftDuringAStallIsNotSent() throws Exception {
        try (FakeTarget target = new FakeTarget(StallTest::serve);
                GatewayHarness gateway = new GatewayHarness(target);
                Socket caller = gateway.connect();
                Socket witness = gateway.connect()) {
            String keepAlive = request("POST", "/order/x", "a1", "", "crates").replace("Connection: close\r\n", "");
            caller.getOutputStream().write(keepAlive.getBytes(StandardCharsets.UTF_8));
            FakeTarget.readLine(caller.getInputStream());
            CountDownLatch stallEnd = new CountDownLatch(1);
            gateway.stallUntil(stallEnd);
            caller.getOutputStream().write(keepAlive.replace("a1", "a2").getBytes(StandardCharsets.UTF_8));
            caller.close();
            witness.getOutputStream()
                    .write(request("POST", "/order/x", "a3", "", "crates").getBytes(StandardCharsets.UTF_8));
            stallEnd.countDown();
            assertThat(GatewayHarness.readAll(witness.getInputStream())).endsWith("body of a3");
            assertThat(target.received)
                    .extracting(FakeTarget.ReceivedRequest::id)
                    .containsExactly("a1", "a3");
        }
    }

    /**
     * Guards against requests that fail without having been sent, because the target closed the connection between its choice
     * and the send. The caller's request and the end of the connection are found in the same turn of the event loop.
     */
    @Test
    void aRequestWhoseConnectionEndedBeforeTheSendIsSentOnAnother() throws Exception {
        AtomicReference<CountDownLatch> stall = new AtomicReference<>();
        Semaphore closed = new Semaphore(0);
        FakeTarget.Script closingDuringStall = (received, connection) -> {
            serve(received, connection);
            if (received.id().startsWith("first")) {
                stall.get().await();
                connection.close();
                closed.release();
                return false;
            }
            return true;
        };
        try (FakeTarget target = new FakeTarget(closingDuringStall);
                GatewayHarness gateway = new GatewayHarness(target)) {
            for (int round = 0; round < 8; round++) {
                stall.set(new CountDownLatch(1));
                assertThat(gateway.call(request("POST", "/order/x", "first" + round, "", "crates")))
                        .startsWith("HTTP/1.1 200");
                CountDownLatch stallEnd = new CountDownLatch(1);
                try (Socket caller = gateway.connect()) {
                    gateway.stallUntil(stallEnd);
                    caller.getOutputStream()
                            .write(request("POST", "/order/x", "b" + round, "", "crates")
                                    .getBytes(StandardCharsets.UTF_8));
                    stall.get().countDown();
                    closed.acquire();
                    stallEnd.countDown();
                    assertThat(GatewayHarness.readAll(caller.getInputStream())).endsWith("body of b" + round);
                }
            }
        }
    }

    /** Comments and bytes of an incomplete event keep the connection busy but are no progress. */
    @Test
    void aStreamThatSendsNoEventsIsResumedElsewhere() throws Exception {
        FakeTarget.Script trickling = (received, connection) -> {
            write(connection, streamHead(received.id(), "first") + chunk("id: 1\ndata: a\n\n"));
            while (true) {
                write(connection, chunk(": still here\n\n"));
                Thread.sleep(20);
            }
        };
        FakeTarget.Script resuming = (received, connection) -> {
            write(connection, streamHead(received.id(), "second") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return true;
        };
        try (FakeTarget stalled = new FakeTarget(trickling);
                FakeTarget sound = new FakeTarget(resuming);
                GatewayHarness gateway = new GatewayHarness(stalled)) {
            Thread adding = new Thread(() -> gateway.applyOnceReceived(stalled, sound));
            adding.start();
            assertThat(gateway.call(request("POST", "/stream/x", "a1", "", "prompt")))
                    .contains("id: 1")
                    .contains("id: 2")
                    .endsWith("0\r\n\r\n");
            adding.join();
            stalled.callerGone.await();
        }
    }
}
