package org.bamboohatch.gateway.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Connection;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.bamboohatch.routing.fleet.Workload;

/** Sends this gateway's load reports to the other gateways and applies theirs. */
public final class LoadExchange implements Service, RequestHandler {

    /**
     * Interval of reports that contain the changes only, in milliseconds. With a longer interval, gateways overload targets
     * because they don't know of each other's recent placements.
     */
    private static final long REPORT_INTERVAL_MS = 15;

    /** Intervals after which a complete report is sent, which corrects for reports that a lost connection dropped. */
    private static final int INTERVALS_PER_COMPLETE_REPORT = 66;

    private final GatewaySettings settings;

    private final LoadTracker loadTracker;

    private final LeavingTargets leavingTargets;

    private final EventLoop loop;

    private final Network network;

    /** The other gateways by address; confined to the callers' event loop. */
    private final Map<String, Peer> peers = new HashMap<>();

    /** Report intervals since the start. */
    private long intervals;

    /** Another gateway. */
    private static final class Peer {

        private final Link link;

        /** The connection on which the last report was sent, or null. */
        private Connection lastReportedOn;

        Peer(Link link) {
            this.link = link;
        }
    }

    /**
     * Creates a load exchange without peers.
     *
     * @param settings settings of this gateway
     * @param loadTracker load of the targets
     * @param leavingTargets the targets that are about to end
     * @param loop the event loop that serves all callers
     * @param network the network threads for frames
     */
    public LoadExchange(
            GatewaySettings settings,
            LoadTracker loadTracker,
            LeavingTargets leavingTargets,
            EventLoop loop,
            Network network) {
        this.settings = settings;
        this.loadTracker = loadTracker;
        this.leavingTargets = leavingTargets;
        this.loop = loop;
        this.network = network;
    }

    @Override
    public void start() {
        loop.scheduleAtFixedRate(this::sendReports, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        loop.execute(() -> peers.values().forEach(peer -> peer.link.close()));
    }

    /**
     * Replaces the gateways to which reports are sent.
     *
     * @param gateways addresses for load reports of all gateways, including this one
     */
    public void apply(List<String> gateways) {
        peers.entrySet().removeIf(peer -> {
            boolean departed = !gateways.contains(peer.getKey());
            if (departed) {
                peer.getValue().link.close();
            }
            return departed;
        });
        for (String address : gateways) {
            if (!address.equals(settings.exchange())) {
                peers.computeIfAbsent(address, added -> new Peer(new Link(network, added, status -> {})));
            }
        }
    }

    @Override
    public void handle(Message request, Exchange exchange) {
        if (request instanceof GatewayLoad report) {
            Map<TargetName, Workload> workloads = new HashMap<>();
            report.targets().forEach(target -> workloads.put(target.target(), target.toWorkload()));
            loop.execute(() -> {
                long now = GatewayClock.now();
                loadTracker.applyReport(report.gateway(), workloads, report.whole(), now);
                report.leaving().forEach(target -> leavingTargets.addReported(target.toIncarnation(), now));
            });
        }
    }

    /**
     * Sends a report to every connected gateway: the changes, or the complete load if it is due or if the connection is new.
     */
    private void sendReports() {
        intervals++;
        boolean completeDue = intervals % INTERVALS_PER_COMPLETE_REPORT == 0;
        if (!completeDue && !loadTracker.hasChanges() && !leavingTargets.hasUnreported()) {
            return;
        }
        LoadTracker.OutgoingReport outgoing = loadTracker.takeReport();
        List<LeavingTargets.Incarnation> unreported = leavingTargets.takeUnreported();
        GatewayLoad complete = report(true, outgoing.complete(), leavingTargets.all());
        GatewayLoad changes = completeDue ? complete : report(false, outgoing.changes(), unreported);
        for (Peer peer : peers.values()) {
            CompletableFuture<Connection> connecting = peer.link.connect();
            if (!connecting.isDone() || connecting.isCompletedExceptionally()) {
                continue;
            }
            Connection connection = connecting.join();
            boolean reconnected = connection != peer.lastReportedOn;
            peer.lastReportedOn = connection;
            connection.send(reconnected ? complete : changes);
        }
    }

    /**
     * Creates a report message.
     *
     * @param complete whether the report covers all targets, rather than those where the load changed
     * @param workloads the load by target
     * @param leaving targets that are about to end
     * @return the message
     */
    private GatewayLoad report(
            boolean complete, Map<TargetName, Workload> workloads, List<LeavingTargets.Incarnation> leaving) {
        List<GatewayLoad.TargetWork> targets = workloads.entrySet().stream()
                .map(target -> GatewayLoad.TargetWork.of(target.getKey(), target.getValue()))
                .toList();
        return new GatewayLoad(
                settings.host().value(),
                complete,
                targets,
                leaving.stream().map(GatewayLoad.LeavingTarget::of).toList());
    }
}
