package org.bamboohatch.gateway.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Connection;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.bamboohatch.routing.fleet.Workload;

/** Tells the other gateways what this one has at targets, and takes what they tell. */
public final class LoadExchange implements Service, RequestHandler {

    /** Interval of reports of what changed, in milliseconds; a gateway that places blindly for longer overfills targets. */
    private static final long CHANGE_INTERVAL_MS = 15;

    /** Reports of what changed between two whole ones, which mend what a lost connection left out. */
    private static final int WHOLE_EVERY = 66;

    /** The settings. */
    private final GatewaySettings settings;

    /** Work at targets. */
    private final LoadTracker book;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** The network threads. */
    private final Network network;

    /** Connections to the other gateways, by address; used on the thread of all callers only. */
    private final Map<String, Peer> peers = new HashMap<>();

    /** Intervals since the start. */
    private long intervals;

    /** One other gateway. */
    private static final class Peer {

        /** Its address. */
        private final Link link;

        /** The connection that the last report went to, or null. */
        private Connection informed;

        /**
         * Creates a peer.
         *
         * @param link its address
         */
        Peer(Link link) {
            this.link = link;
        }
    }

    /**
     * Creates an exchange.
     *
     * @param settings the settings
     * @param book work at targets
     * @param loop the thread of all callers
     * @param network the network threads
     */
    public LoadExchange(GatewaySettings settings, LoadTracker book, EventLoop loop, Network network) {
        this.settings = settings;
        this.book = book;
        this.loop = loop;
        this.network = network;
    }

    @Override
    public void start() {
        loop.scheduleAtFixedRate(this::tell, CHANGE_INTERVAL_MS, CHANGE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        loop.execute(() -> peers.values().forEach(peer -> peer.link.close()));
    }

    /**
     * Takes the gateways that there are by now.
     *
     * @param gateways their addresses, this one's included
     */
    public void apply(List<String> gateways) {
        peers.entrySet().removeIf(peer -> {
            boolean gone = !gateways.contains(peer.getKey());
            if (gone) {
                peer.getValue().link.close();
            }
            return gone;
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
            Map<TargetName, Workload> work = new HashMap<>();
            report.targets().forEach(target -> work.put(target.target(), target.work()));
            loop.execute(() -> book.report(report.gateway(), work, report.whole(), GatewayClock.now()));
        }
    }

    /** Tells the others what changed. */
    private void tell() {
        intervals++;
        boolean wholeDue = intervals % WHOLE_EVERY == 0;
        if (!wholeDue && !book.hasChanges()) {
            return;
        }
        LoadTracker.Drained drained = book.drain();
        GatewayLoad whole = report(true, drained.whole());
        GatewayLoad changes = wholeDue ? whole : report(false, drained.changes());
        for (Peer peer : peers.values()) {
            CompletableFuture<Connection> connecting = peer.link.connect();
            if (!connecting.isDone() || connecting.isCompletedExceptionally()) {
                continue;
            }
            Connection connection = connecting.join();
            boolean fresh = connection != peer.informed;
            peer.informed = connection;
            connection.send(fresh ? whole : changes);
        }
    }

    /**
     * Makes a report.
     *
     * @param whole whether all work is told, or what changed
     * @param work the work by target
     * @return the report
     */
    private GatewayLoad report(boolean whole, Map<TargetName, Workload> work) {
        List<GatewayLoad.TargetWork> targets = work.entrySet().stream()
                .map(target -> GatewayLoad.TargetWork.of(target.getKey(), target.getValue()))
                .toList();
        return new GatewayLoad(settings.host().value(), whole, targets);
    }
}
