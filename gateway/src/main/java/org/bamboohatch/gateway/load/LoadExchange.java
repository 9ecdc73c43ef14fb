package org.bamboohatch.gateway.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.routing.fleet.Workload;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.bamboohatch.routing.quarantine.RequestQuarantine.Observations;

/**
 * Sends this gateway's load reports to the other gateways as datagrams and applies theirs. A lost report is corrected by the
 * next complete one. Confined to the callers' event loop.
 */
public final class LoadExchange implements Service {

    private static final Logger LOGGER = LogManager.getLogger(LoadExchange.class);

    /** Complete reports in a row after a gateway has started, as each of them may be lost. */
    private static final int NEWCOMER_REPORTS = 3;

    /** Time for which a leaving target is named in each report of all load, as reports may be lost, in milliseconds. */
    private static final long LEAVING_REPEAT_MS = 5_000;

    private final GatewaySettings settings;

    private final LoadTracker loadTracker;

    private final LeavingTargets leavingTargets;

    private final TargetPauses pauses;

    private final TargetLimits limits;

    private final ColdTargets coldTargets;

    private final TargetRamps ramps;

    private final RequestQuarantine quarantine;

    private final WaitingWork waitingWork;

    private final EventLoop loop;

    /** Random number of this start of the process. */
    private final long start = ThreadLocalRandom.current().nextLong();

    /** Number of the last report sent. */
    private long lastNumber;

    /** The other gateways by their address for load reports. */
    private final Map<InetSocketAddress, Peer> peers = new HashMap<>();

    /** Gateways of the same zone, or of a zone that is not known yet. */
    private final Audience near;

    /** Gateways in other zones. */
    private final Audience far;

    /** Number of gateways in other zones as of the last tick. */
    private int farGateways;

    private long lastFarReportAt;

    private long lastCompleteReportAt;

    /** Time of the last report that was sent even without load. */
    private long lastPresenceReportAt;

    /** Number of complete reports that are due for a gateway that has started and knows nothing yet. */
    private int newcomerReportsDue;

    /** The socket, or null before the start. */
    private ReportSocket socket;

    /** The scheduled tick, or null if none is scheduled. */
    private ScheduledFuture<?> nextTick;

    /** Time of the scheduled tick, in milliseconds. */
    private long nextTickAt;

    private long lastTickAt;

    /** Time up to which all reports that had arrived have been read, in milliseconds. */
    private long readUpTo;

    /** A group of gateways that get the same reports, and what is still to be reported to them. */
    private final class Audience {

        private final LoadTracker.PendingReport pendingLoad = loadTracker.newReport();

        private final RequestQuarantine.PendingReport pendingObservations = quarantine.newReport();

        private final TargetLimits.PendingReport pendingLimits = limits.newReport();

        private final TargetPauses.PendingReport pendingPauses = pauses.newReport();

        private final ColdTargets.PendingReport pendingCold = coldTargets.newReport();

        private final TargetRamps.PendingReport pendingRamps = ramps.newReport();

        private final WaitingWork.PendingReport pendingWaiting = waitingWork.newReport();

        private final Set<TargetIncarnation> pendingLeaving = new LinkedHashSet<>();

        /**
         * Returns what is to be reported.
         *
         * @param complete whether everything is reported; otherwise what has changed since the previous report
         * @param now current time, in milliseconds
         * @return the content of the report
         */
        ReportContent take(boolean complete, long now) {
            ReportContent content = new ReportContent(
                    complete ? pendingLoad.takeAll() : pendingLoad.takeChanges(),
                    List.copyOf(pendingLeaving),
                    complete ? pendingObservations.takeAll(now) : pendingObservations.takeChanges(),
                    complete ? pendingLimits.takeAll(now) : pendingLimits.takeChanges(),
                    complete ? pendingPauses.takeAll(now) : pendingPauses.takeChanges(),
                    complete ? pendingCold.takeAll(now) : pendingCold.takeChanges(),
                    complete ? pendingRamps.takeAll(now) : pendingRamps.takeChanges(),
                    pendingWaiting.take(complete, now));
            pendingLeaving.clear();
            return content;
        }

        boolean hasChanges() {
            return pendingLoad.hasChanges() || !pendingLeaving.isEmpty();
        }
    }

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
     * @param state state of the targets that gateways exchange
     * @param loop the event loop that serves all callers
     */
    public LoadExchange(GatewaySettings settings, ExchangedState state, EventLoop loop) {
        this.settings = settings;
        this.loadTracker = state.loadTracker();
        this.leavingTargets = state.leavingTargets();
        this.pauses = state.pauses();
        this.limits = state.limits();
        this.coldTargets = state.coldTargets();
        this.ramps = state.ramps();
        this.quarantine = state.quarantine();
        this.waitingWork = state.waitingWork();
        this.loop = loop;
        this.near = new Audience();
        this.far = new Audience();
    }

    @Override
    public void start() {
        try {
            socket = new ReportSocket(Network.parse(settings.exchange()));
        } catch (IOException unusable) {
            throw new UncheckedIOException(unusable);
        }
        loop.submit(() -> {
                    loadTracker.trigger().connect(this::receiveReports, this::reportSoon);
                    readUpTo = GatewayClock.now();
                    scheduleTick(ReportSchedule.NEAR_INTERVAL_MS, GatewayClock.now());
                })
                .syncUninterruptibly();
    }

    @Override
    public void stop() {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException ignored) {
            LOGGER.warn("load: the socket cannot be closed");
        }
    }

    /**
     * Schedules a tick, unless there is an earlier one.
     *
     * @param delay time until the tick, in milliseconds
     * @param now current time, in milliseconds
     */
    private void scheduleTick(long delay, long now) {
        if (nextTick != null && nextTickAt <= now + delay) {
            return;
        }
        if (nextTick != null) {
            nextTick.cancel(false);
        }
        nextTickAt = now + delay;
        nextTick = loop.schedule(this::tick, delay, TimeUnit.MILLISECONDS);
    }

    /** Applies the reports that have arrived and sends those that are due. Ends when the socket is closed. */
    private void tick() {
        nextTick = null;
        if (!socket.isOpen()) {
            return;
        }
        long now = GatewayClock.now();
        lastTickAt = now;
        try {
            receiveReports();
            sendReports(now);
        } finally {
            long delay = ReportSchedule.nextTickMillis(
                    newcomerReportsDue > 0,
                    now - lastCompleteReportAt,
                    far.hasChanges(),
                    now - lastFarReportAt,
                    farGateways);
            scheduleTick(delay, now);
        }
    }

    private void reportSoon() {
        long now = GatewayClock.now();
        scheduleTick(ReportSchedule.changeDelayMillis(now - lastTickAt), now);
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
                Network.parseAnnounced(address).ifPresent(present::add);
            }
        }
        limits.setGateways(gateways, settings.exchange(), GatewayClock.now());
        quarantine.setGateways(gateways, settings.exchange());
        peers.keySet().retainAll(present);
        present.forEach(address -> peers.computeIfAbsent(address, added -> {
            newcomerReportsDue = NEWCOMER_REPORTS;
            return new Peer();
        }));
    }

    /**
     * Sends the reports that are due.
     *
     * @param now current time, in milliseconds
     */
    private void sendReports(long now) {
        boolean completeDue =
                newcomerReportsDue > 0 || now - lastCompleteReportAt >= ReportSchedule.COMPLETE_INTERVAL_MS;
        boolean presenceDue =
                newcomerReportsDue > 0 || now - lastPresenceReportAt >= ReportSchedule.PRESENCE_INTERVAL_MS;
        newcomerReportsDue = Math.max(0, newcomerReportsDue - 1);
        List<InetSocketAddress> nearPeers = new ArrayList<>();
        List<InetSocketAddress> farPeers = new ArrayList<>();
        peers.forEach((address, peer) -> (isFar(peer) ? farPeers : nearPeers).add(address));
        farGateways = farPeers.size();
        boolean farDue = completeDue || now - lastFarReportAt >= ReportSchedule.farIntervalMillis(farGateways);
        List<TargetIncarnation> leaving = leavingTargets.takeUnreported();
        if (completeDue) {
            lastCompleteReportAt = now;
            loadTracker.removeExpired(now);
            leaving = leavingTargets.addedSince(now - LEAVING_REPEAT_MS);
        }
        near.pendingLeaving.addAll(leaving);
        far.pendingLeaving.addAll(leaving);
        if (presenceDue) {
            lastPresenceReportAt = now;
        }
        send(nearPeers, near.take(completeDue, now), presenceDue, now);
        if (farDue) {
            lastFarReportAt = now;
            send(farPeers, far.take(completeDue, now), presenceDue, now);
        }
    }

    private boolean isFar(Peer peer) {
        return peer.zone != null && !peer.zone.equals(settings.zone());
    }

    /**
     * Sends a report, in several datagrams if it is long.
     *
     * @param receivers addresses of the receivers
     * @param content what to report
     * @param presence whether the report is sent even if there is nothing to report
     * @param now current time, in milliseconds
     */
    private void send(List<InetSocketAddress> receivers, ReportContent content, boolean presence, long now) {
        if (receivers.isEmpty() || content.isEmpty() && !presence) {
            return;
        }
        content.toReports(settings.host().value(), settings.zone(), start, this::nextNumber, now)
                .forEach(report -> socket.send(MessageCodec.instance().encode(report), receivers));
    }

    private long nextNumber() {
        lastNumber++;
        return lastNumber;
    }

    /**
     * Applies a report, unless it was overtaken by a later one. What it tells of the past is dated from the earliest time at
     * which it may have arrived: gateways repeat to each other what they have heard, and the latest word of a target holds,
     * so a word that became younger with each reading would outlast the one that replaces it.
     *
     * @param report the report
     * @param peer the gateway that sent it
     * @param arrivedAt earliest time at which the report may have arrived, in milliseconds
     * @param now current time, in milliseconds
     */
    private void apply(GatewayLoad report, Peer peer, long arrivedAt, long now) {
        if (peer.start == report.start() && report.number() <= peer.number) {
            return;
        }
        if (peer.start != report.start()) {
            newcomerReportsDue = NEWCOMER_REPORTS;
        }
        peer.zone = report.zone();
        peer.start = report.start();
        peer.number = report.number();
        Map<TargetName, Workload> workloads = new HashMap<>();
        report.targets().forEach(target -> workloads.put(target.target(), target.toWorkload()));
        loadTracker.applyReport(report.gateway(), workloads, now);
        report.leaving().forEach(target -> leavingTargets.addReported(target.toIncarnation(), now));
        report.pauses().forEach(pause -> addPause(pause, arrivedAt, now));
        waitingWork.apply(report.gateway(), report.waiting(), now);
        report.limits().forEach(limit -> limits.apply(limit.toStatement(arrivedAt), now));
        report.cold().forEach(coldTime -> coldTargets.apply(coldTime.toStatement(arrivedAt), now));
        report.ramps().forEach(ramp -> ramps.apply(ramp.toStatement(arrivedAt), now));
        quarantine.apply(
                new Observations(
                        report.crashes().stream()
                                .map(crash -> crash.toTargetCrash(arrivedAt))
                                .toList(),
                        report.generated().stream()
                                .collect(Collectors.toMap(
                                        GatewayLoad.GeneratedTrait::trait,
                                        generated -> arrivedAt - generated.ageMillis(),
                                        Math::max))),
                now);
    }

    /**
     * Adds a reported pause. It ends late rather than early. A pause that is known already is not extended by the time that
     * reports wait to be read, since gateways repeat to each other what they have heard.
     *
     * @param pause the pause
     * @param arrivedAt earliest time at which the report may have arrived, in milliseconds
     * @param now current time, in milliseconds
     */
    private void addPause(GatewayLoad.Pause pause, long arrivedAt, long now) {
        TargetIncarnation target = pause.toIncarnation();
        long known = pauses.pausedUntil(target);
        if (known == 0 || arrivedAt + pause.leftMillis() > known + ReportSchedule.READ_INTERVAL_MS) {
            pauses.addReported(target, now + pause.leftMillis(), now);
        }
    }

    /** Applies the reports of other gateways that have arrived. What others send is dropped unread. */
    private void receiveReports() {
        long now = GatewayClock.now();
        if (socket.receive(this::receive)) {
            readUpTo = now;
        }
    }

    private void receive(SocketAddress sender, byte[] datagram) {
        Peer peer = peers.get(sender);
        if (peer == null) {
            return;
        }
        try {
            apply(MessageCodec.instance().decode(datagram, GatewayLoad.class), peer, readUpTo, GatewayClock.now());
        } catch (IOException | RuntimeException malformed) {
            // Reports are also applied while a request is served, which must not fail because of one of them.
            LOGGER.warn("load: malformed report from {}: {}", sender, malformed.toString());
        }
    }
}
