package org.bamboohatch.gateway.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.routing.fleet.Workload;

/**
 * Sends this gateway's load reports to the other gateways as datagrams and applies theirs. A lost report is corrected by the
 * next complete one. Confined to the callers' event loop.
 */
public final class LoadExchange implements Service {

    private static final Logger LOGGER = LogManager.getLogger(LoadExchange.class);

    /** Targets in one datagram, so that it fits into a packet of a usual network. */
    private static final int TARGETS_PER_REPORT = 24;

    /** Time for which a leaving target is named in each report of all load, as reports may be lost, in milliseconds. */
    private static final long LEAVING_REPEAT_MS = 5_000;

    private final GatewaySettings settings;

    private final LoadTracker loadTracker;

    private final LeavingTargets leavingTargets;

    private final EventLoop loop;

    /** Random number of this start of the process. */
    private final long start = ThreadLocalRandom.current().nextLong();

    /** Number of the last report sent. */
    private long lastNumber;

    /** The other gateways by their address for load reports. */
    private final Map<InetSocketAddress, Peer> peers = new HashMap<>();

    /** Changes to report to gateways of the same zone, or of a zone that is not known yet. */
    private final LoadTracker.PendingReport nearReport;

    /** Changes to report to gateways in other zones. */
    private final LoadTracker.PendingReport farReport;

    /** Leaving targets to report to gateways in other zones. */
    private final Set<TargetIncarnation> farLeaving = new LinkedHashSet<>();

    private long lastFarReportAt;

    private long lastCompleteReportAt;

    /** The socket, or null while the exchange is stopped. */
    private Channel socket;

    /** Zone and last report of another gateway. */
    private static final class Peer {

        /** Its zone, or null if it has sent no report yet. */
        private ZoneName zone;

        private long start;

        /** Number of the last report of this start. */
        private long number;
    }

    /**
     * Creates a load exchange without peers.
     *
     * @param settings settings of this gateway
     * @param loadTracker load of the targets
     * @param leavingTargets the targets that are about to end
     * @param loop the event loop that serves all callers
     */
    public LoadExchange(
            GatewaySettings settings, LoadTracker loadTracker, LeavingTargets leavingTargets, EventLoop loop) {
        this.settings = settings;
        this.loadTracker = loadTracker;
        this.leavingTargets = leavingTargets;
        this.loop = loop;
        this.nearReport = loadTracker.newReport();
        this.farReport = loadTracker.newReport();
    }

    @Override
    public void start() {
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(loop);
        bootstrap.channel(NioDatagramChannel.class);
        bootstrap.handler(new Receiver());
        socket = bootstrap
                .bind(Network.parse(settings.exchange()))
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(
                () -> sendReports(GatewayClock.now()),
                ReportSchedule.NEAR_INTERVAL_MS,
                ReportSchedule.NEAR_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        socket.close().awaitUninterruptibly();
    }

    /**
     * Replaces the gateways to which reports are sent.
     *
     * @param gateways addresses for load reports of all gateways, including this one
     */
    public void apply(List<String> gateways) {
        Set<InetSocketAddress> present = new HashSet<>();
        for (String address : gateways) {
            if (!address.equals(settings.exchange())) {
                present.add(Network.parse(address));
            }
        }
        peers.keySet().retainAll(present);
        present.forEach(address -> peers.computeIfAbsent(address, added -> new Peer()));
    }

    /**
     * Sends the reports that are due.
     *
     * @param now current time, in milliseconds
     */
    private void sendReports(long now) {
        boolean completeDue = now - lastCompleteReportAt >= ReportSchedule.COMPLETE_INTERVAL_MS;
        List<InetSocketAddress> near = new ArrayList<>();
        List<InetSocketAddress> far = new ArrayList<>();
        peers.forEach((address, peer) -> (isFar(peer) ? far : near).add(address));
        boolean farDue = completeDue || now - lastFarReportAt >= ReportSchedule.farIntervalMillis(far.size());
        List<TargetIncarnation> nearLeaving = leavingTargets.takeUnreported();
        farLeaving.addAll(nearLeaving);
        if (completeDue) {
            lastCompleteReportAt = now;
            loadTracker.removeExpired(now);
            nearLeaving = leavingTargets.addedSince(now - LEAVING_REPEAT_MS);
            farLeaving.addAll(nearLeaving);
        }
        if (completeDue || nearReport.hasChanges() || !nearLeaving.isEmpty()) {
            send(near, completeDue ? nearReport.takeAll() : nearReport.takeChanges(), nearLeaving);
        }
        if (farDue) {
            lastFarReportAt = now;
            if (completeDue || farReport.hasChanges() || !farLeaving.isEmpty()) {
                send(far, completeDue ? farReport.takeAll() : farReport.takeChanges(), List.copyOf(farLeaving));
                farLeaving.clear();
            }
        }
    }

    private boolean isFar(Peer peer) {
        return peer.zone != null && !peer.zone.equals(settings.zone());
    }

    /**
     * Sends a report, in several datagrams if it is long.
     *
     * @param receivers addresses of the receivers
     * @param workloads the load by target
     * @param leaving targets that are about to end
     */
    private void send(
            List<InetSocketAddress> receivers, Map<TargetName, Workload> workloads, List<TargetIncarnation> leaving) {
        if (receivers.isEmpty()) {
            return;
        }
        List<GatewayLoad.TargetWork> targets = workloads.entrySet().stream()
                .map(target -> GatewayLoad.TargetWork.of(target.getKey(), target.getValue()))
                .toList();
        List<GatewayLoad.LeavingTarget> leavingParts =
                leaving.stream().map(GatewayLoad.LeavingTarget::of).toList();
        int position = 0;
        do {
            int end = Math.min(targets.size(), position + TARGETS_PER_REPORT);
            int leavingEnd = Math.min(leavingParts.size(), position + TARGETS_PER_REPORT);
            lastNumber++;
            byte[] report = MessageCodec.instance()
                    .encode(new GatewayLoad(
                            settings.host().value(),
                            settings.zone(),
                            start,
                            lastNumber,
                            targets.subList(Math.min(position, end), end),
                            leavingParts.subList(Math.min(position, leavingEnd), leavingEnd)));
            receivers.forEach(receiver -> socket.write(new DatagramPacket(Unpooled.wrappedBuffer(report), receiver)));
            position += TARGETS_PER_REPORT;
        } while (position < Math.max(targets.size(), leavingParts.size()));
        socket.flush();
    }

    /**
     * Applies a report, unless it was overtaken by a later one.
     *
     * @param report the report
     * @param peer the gateway that sent it
     * @param now current time, in milliseconds
     */
    private void apply(GatewayLoad report, Peer peer, long now) {
        if (peer.start == report.start() && report.number() <= peer.number) {
            return;
        }
        peer.zone = report.zone();
        peer.start = report.start();
        peer.number = report.number();
        Map<TargetName, Workload> workloads = new HashMap<>();
        report.targets().forEach(target -> workloads.put(target.target(), target.toWorkload()));
        loadTracker.applyReport(report.gateway(), workloads, now);
        report.leaving().forEach(target -> leavingTargets.addReported(target.toIncarnation(), now));
    }

    /** Receives the reports of other gateways. What others send is dropped unread. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Peer peer = peers.get(packet.sender());
            if (peer == null) {
                return;
            }
            try {
                GatewayLoad report =
                        MessageCodec.instance().decode(ByteBufUtil.getBytes(packet.content()), GatewayLoad.class);
                apply(report, peer, GatewayClock.now());
            } catch (IOException malformed) {
                LOGGER.warn("load: malformed report from {}: {}", packet.sender(), malformed.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The socket stays open; a send to a host without a listener reports an error here.
            LOGGER.debug("load: report not delivered: {}", cause.toString());
        }
    }
}
