package org.bamboohatch.gateway.load;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.bamboohatch.routing.wait.WaitingElsewhere;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Gateways tell each other of their load and of targets that leave, whatever datagrams are lost or malformed. */
@Timeout(30)
class LoadExchangeTest {

    /** Time after which a test fails instead of waiting for a report that is not sent, in milliseconds. */
    private static final int RECEIVE_TIMEOUT_MS = 20_000;

    private static final TargetName ENGINE = new TargetName("engine-a");

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    private final Gateway first = new Gateway("gateway-1", "zone-a", loopback(73));

    private final Gateway second = new Gateway("gateway-2", "zone-b", loopback(74));

    /** The parts of a gateway that take part in the exchange. */
    private final class Gateway {

        private final String address;

        private final LoadTracker loadTracker;

        private final LeavingTargets leavingTargets;

        private final TargetPauses pauses;

        private final TargetLimits limits;

        private final RequestQuarantine quarantine;

        private final WaitingWork waitingWork;

        private final LoadExchange exchange;

        Gateway(String host, String zone, String ip) {
            address = freeAddress(ip);
            GatewaySettings settings = new GatewaySettings(
                    new HostName(host),
                    new ZoneName(zone),
                    "",
                    "",
                    address,
                    List.of(),
                    4_000,
                    0.2,
                    50,
                    10_000,
                    3_500,
                    60_000,
                    1_000,
                    0);
            ExchangedState state = ExchangedState.empty(settings);
            loadTracker = state.loadTracker();
            leavingTargets = state.leavingTargets();
            pauses = state.pauses();
            limits = state.limits();
            quarantine = state.quarantine();
            waitingWork = state.waitingWork();
            exchange = new LoadExchange(settings, state, loop);
        }

        private DatagramPacket packet(byte[] bytes) throws java.io.IOException {
            int colon = address.indexOf(':');
            InetAddress ip = InetAddress.getByName(address.substring(0, colon));
            return new DatagramPacket(bytes, bytes.length, ip, Integer.parseInt(address.substring(colon + 1)));
        }
    }

    /** Returns an address that no other process uses, so that no other socket takes a port after it was found free. */
    private static String loopback(int network) {
        long process = ProcessHandle.current().pid();
        return "127." + network + "." + process / 250 % 250 + "." + (process % 250 + 1);
    }

    private static String freeAddress(String ip) {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName(ip))) {
            return ip + ":" + free.getLocalPort();
        } catch (java.io.IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        }
    }

    private void start() throws Exception {
        List<String> addresses = List.of(first.address, second.address);
        for (Gateway gateway : List.of(first, second)) {
            gateway.exchange.start();
            onLoop(() -> {
                gateway.exchange.apply(addresses);
                return null;
            });
        }
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private void awaitOnLoop(Callable<Boolean> condition) throws Exception {
        while (!onLoop(condition)) {
            Thread.sleep(5);
        }
    }

    private int runsKnownTo(Gateway gateway) {
        return gateway.loadTracker.load(ENGINE, GatewayClock.now()).runs();
    }

    @AfterEach
    void stop() {
        first.exchange.stop();
        second.exchange.stop();
        loop.parent().shutdownGracefully();
    }

    @Test
    void loadAndItsEndAreReported() throws Exception {
        start();
        LoadTracker.TrackedRequest request =
                onLoop(() -> first.loadTracker.add(ENGINE, 5_000, 6_000, true, true, 30, GatewayClock.now()));
        awaitOnLoop(() -> runsKnownTo(second) == 1);
        onLoop(() -> {
            request.end();
            return null;
        });
        awaitOnLoop(() -> runsKnownTo(second) == 0);
    }

    /** Guards against gateways in other zones that use the same free engines at the same moment. */
    @Test
    void waitingRequestsAreReported() throws Exception {
        start();
        ServiceName service = new ServiceName("engines");
        onLoop(() -> {
            first.waitingWork.setOwn(service, List.of(new WaitingElsewhere.Report(1, 7_000, 2, 3_500)));
            return null;
        });
        awaitOnLoop(() -> second.waitingWork
                        .elsewhere(service, true, GatewayClock.now())
                        .reports()
                        .size()
                == 1);
        onLoop(() -> {
            first.waitingWork.setOwn(service, List.of());
            return null;
        });
        awaitOnLoop(() -> second.waitingWork
                .elsewhere(service, true, GatewayClock.now())
                .reports()
                .isEmpty());
    }

    /** The report that was sent before the other gateway was known is made up for by the next complete one. */
    @Test
    void aLostReportIsCorrected() throws Exception {
        first.exchange.start();
        onLoop(() -> first.loadTracker.add(ENGINE, 5_000, 6_000, true, true, 30, GatewayClock.now()));
        Thread.sleep(100);
        second.exchange.start();
        for (Gateway gateway : List.of(first, second)) {
            onLoop(() -> {
                gateway.exchange.apply(List.of(first.address, second.address));
                return null;
            });
        }
        awaitOnLoop(() -> runsKnownTo(second) == 1);
    }

    @Test
    void leavingTargetsAreReported() throws Exception {
        start();
        onLoop(() -> first.leavingTargets.add(new TargetIncarnation(ENGINE, 7), GatewayClock.now()));
        awaitOnLoop(() -> second.leavingTargets.contains(new TargetAddress(ENGINE, 7, "127.0.0.1:1")));
        assertThat(onLoop(() -> second.leavingTargets.contains(new TargetAddress(ENGINE, 8, "127.0.0.1:1"))))
                .as("its next incarnation")
                .isFalse();
    }

    /** The gateway that is told is not known yet when the target reports that it leaves. */
    @Test
    void aLostReportOfALeavingTargetIsRepeated() throws Exception {
        first.exchange.start();
        onLoop(() -> first.leavingTargets.add(new TargetIncarnation(ENGINE, 7), GatewayClock.now()));
        Thread.sleep(100);
        second.exchange.start();
        for (Gateway gateway : List.of(first, second)) {
            onLoop(() -> {
                gateway.exchange.apply(List.of(first.address, second.address));
                return null;
            });
        }
        awaitOnLoop(() -> second.leavingTargets.contains(new TargetAddress(ENGINE, 7, "127.0.0.1:1")));
    }

    @Test
    void pausesOfTargetsAreReported() throws Exception {
        start();
        TargetIncarnation engine = new TargetIncarnation(ENGINE, 7);
        onLoop(() -> {
            first.pauses.add(engine, 30_000, GatewayClock.now());
            return null;
        });
        awaitOnLoop(() -> second.pauses.pausedUntil(engine) > GatewayClock.now() + 20_000);
    }

    @Test
    void limitsOfTargetsAreReported() throws Exception {
        start();
        TargetIncarnation engine = new TargetIncarnation(ENGINE, 7);
        onLoop(() -> first.limits.recordLimit(engine, 0.5, GatewayClock.now()));
        awaitOnLoop(() -> second.limits.nextSendAt(engine, GatewayClock.now()) > 0);
        Thread.sleep(5);
        onLoop(() -> first.limits.recordNoLimit(engine, GatewayClock.now(), GatewayClock.now()));
        awaitOnLoop(() -> second.limits.nextSendAt(engine, GatewayClock.now()) == 0);
    }

    @Test
    void crashesOfEnginesAreReportedWithAllSuspects() throws Exception {
        start();
        List<RequestTrait> suspects = IntStream.range(0, 40)
                .mapToObj(number -> new RequestTrait("part-" + number))
                .toList();
        for (int number = 0; number < 3; number++) {
            TargetIncarnation engine = new TargetIncarnation(new TargetName("engine-" + number), 7);
            onLoop(() -> {
                first.quarantine.recordCrash(engine, suspects, GatewayClock.now());
                return null;
            });
        }
        awaitOnLoop(() -> second.quarantine
                .find(List.of(suspects.get(39)), GatewayClock.now())
                .isPresent());
    }

    @Test
    void malformedDatagramsAreIgnored() throws Exception {
        start();
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            byte[] bytes = "no report".getBytes(StandardCharsets.UTF_8);
            stranger.send(second.packet(bytes));
            stranger.send(second.packet(new byte[0]));
        }
        onLoop(() -> first.loadTracker.add(ENGINE, 5_000, 6_000, true, true, 30, GatewayClock.now()));
        awaitOnLoop(() -> runsKnownTo(second) == 1);
    }

    /**
     * Arrived reports are read at intervals only. A decision between two of them must not rest on an older view than if
     * each report was applied on arrival. The event loop is occupied from the arrival to the decision, so no tick runs.
     */
    @Test
    void aDecisionSeesAllReportsThatHaveArrived() throws Exception {
        second.exchange.start();
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            GatewayLoad report = new GatewayLoad(
                    "gateway-3",
                    new ZoneName("zone-a"),
                    1,
                    1,
                    List.of(new GatewayLoad.TargetWork(ENGINE, 3, 0, 0, 0, 0, 0)),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    null);
            byte[] bytes = MessageCodec.instance().encode(report);
            int known = onLoop(() -> {
                second.exchange.apply(List.of(second.address, "127.0.0.1:" + peer.getLocalPort()));
                peer.send(second.packet(bytes));
                second.loadTracker.trigger().applyArrivedReports();
                return runsKnownTo(second);
            });
            assertThat(known).isEqualTo(3);
        }
    }

    /**
     * Reports are applied while requests are served. A report that can be decoded but not applied must neither fail the
     * request nor keep the reports behind it from being read.
     */
    @Test
    void aReportThatCannotBeAppliedFailsNoDecision() throws Exception {
        second.exchange.start();
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            GatewayLoad.Limit withoutTarget = new GatewayLoad.Limit(null, 1, 2.0, 0);
            byte[] unusable = MessageCodec.instance().encode(report(1, List.of(), List.of(withoutTarget)));
            GatewayLoad.TargetWork work = new GatewayLoad.TargetWork(ENGINE, 3, 0, 0, 0, 0, 0);
            byte[] usable = MessageCodec.instance().encode(report(2, List.of(work), List.of()));
            int known = onLoop(() -> {
                second.exchange.apply(List.of(second.address, "127.0.0.1:" + peer.getLocalPort()));
                for (byte[] bytes : List.of(unusable, usable)) {
                    peer.send(second.packet(bytes));
                }
                second.loadTracker.trigger().applyArrivedReports();
                return runsKnownTo(second);
            });
            assertThat(known).isEqualTo(3);
        }
    }

    private static GatewayLoad report(
            long number, List<GatewayLoad.TargetWork> targets, List<GatewayLoad.Limit> limits) {
        return new GatewayLoad(
                "gateway-3",
                new ZoneName("zone-a"),
                1,
                number,
                targets,
                List.of(),
                List.of(),
                List.of(),
                limits,
                List.of(),
                List.of(),
                List.of(),
                null);
    }

    /**
     * Gateways repeat to each other what targets have said. If a report that waited to be read was dated from its reading,
     * the repetition of a limit would be later than the end of the limit and put it in force again, and each repetition
     * would extend a pause. The reports of the other gateway wait here while this one hears the end of the limit.
     */
    @Test
    void waitingForTheReadingDoesNotMakeRepeatedStatementsYounger() throws Exception {
        second.exchange.start();
        TargetIncarnation engine = new TargetIncarnation(ENGINE, 7);
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            onLoop(() -> {
                second.exchange.apply(List.of(second.address, "127.0.0.1:" + peer.getLocalPort()));
                second.loadTracker.trigger().applyArrivedReports();
                long begin = GatewayClock.now();
                second.limits.recordLimit(engine, 0.5, begin - 5);
                second.pauses.add(engine, 30_000, begin - 5);
                GatewayLoad repeated = new GatewayLoad(
                        "gateway-3",
                        new ZoneName("zone-a"),
                        1,
                        1,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(new GatewayLoad.Limit(ENGINE, 7, 0.5, 5)),
                        List.of(new GatewayLoad.Pause(ENGINE, 7, 29_995)),
                        List.of(),
                        List.of(),
                        null);
                byte[] bytes = MessageCodec.instance().encode(repeated);
                peer.send(second.packet(bytes));
                assertThat(second.limits.recordNoLimit(engine, begin, begin)).isTrue();
                Thread.sleep(100);
                second.loadTracker.trigger().applyArrivedReports();
                assertThat(second.limits.nextSendAt(engine, GatewayClock.now())).isZero();
                assertThat(second.pauses.pausedUntil(engine)).isEqualTo(begin - 5 + 30_000);
                return null;
            });
        }
    }

    /** A gateway that reports at intervals only, without load, would be counted to no zone after a lost first report. */
    @Test
    void gatewaysWithoutLoadReportTheirPresence() throws Exception {
        first.exchange.start();
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            peer.setSoTimeout(RECEIVE_TIMEOUT_MS);
            onLoop(() -> {
                first.exchange.apply(List.of(first.address, "127.0.0.1:" + peer.getLocalPort()));
                return null;
            });
            for (int number = 0; number < 4; number++) {
                DatagramPacket packet = new DatagramPacket(new byte[2_000], 2_000);
                peer.receive(packet);
                GatewayLoad report = MessageCodec.instance()
                        .decode(Arrays.copyOf(packet.getData(), packet.getLength()), GatewayLoad.class);
                assertThat(report.zone()).isEqualTo(new ZoneName("zone-a"));
                assertThat(report.targets()).isEmpty();
            }
        }
    }
}
