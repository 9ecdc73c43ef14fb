package org.bamboohatch.entry.dispatch;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.bamboohatch.entry.EntrySettings;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.configuration.RoutingSnapshot;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.AgentReply.LoadReport;
import org.bamboohatch.protocol.message.AgentRequest.Cancel;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Connection;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.routing.target.TargetSubset;

/**
 * Maintains a link to each target that this entry has selected from the membership. Confined to the dispatcher's
 * thread.
 */
@Singleton
public final class TargetDirectory {

    private static final long LINK_CHECK_INTERVAL_MS = 100;

    private final EntrySettings settings;

    private final Network network;

    /** Targets that requests are running at. */
    private final Map<CallerRequest, TargetConnection> targetsByRequest = new java.util.HashMap<>();

    private long nextLinkCheck;

    /**
     * Creates a directory without targets.
     *
     * @param settings the settings of the entry, whose host determines the selected targets
     * @param network the network threads that open the links
     */
    @Inject
    public TargetDirectory(EntrySettings settings, Network network) {
        this.settings = settings;
        this.network = network;
    }

    /**
     * Updates the targets of all pools to a new snapshot, and creates pools for new services.
     *
     * @param snapshot the latest snapshot of the membership
     * @param pools pools by service
     * @param dispatcher executes callbacks on its thread
     */
    void update(RoutingSnapshot snapshot, Map<ServiceName, ServicePool> pools, Dispatcher dispatcher) {
        for (ServiceName service : snapshot.services().keySet()) {
            pools.computeIfAbsent(service, added -> new ServicePool());
        }
        pools.forEach((service, pool) -> updatePool(service, pool, snapshot, dispatcher));
    }

    private void updatePool(ServiceName service, ServicePool pool, RoutingSnapshot snapshot, Dispatcher dispatcher) {
        List<TargetName> members = snapshot.targets().values().stream()
                .filter(target -> target.service().equals(service))
                .map(TargetAnnouncement::target)
                .toList();
        Set<TargetName> selected = new HashSet<>(TargetSubset.select(settings.host(), members));
        for (TargetName name : selected) {
            TargetAnnouncement announcement = snapshot.targets().get(name);
            TargetConnection existing = pool.targets().get(name);
            boolean addressChanged =
                    existing != null && !existing.announcement().address().equals(announcement.address());
            if (existing == null || addressChanged) {
                pool.targets().put(name, connect(announcement, dispatcher));
            } else {
                existing.updateAnnouncement(announcement);
            }
        }
        pool.targets().forEach((name, connection) -> {
            if (!selected.contains(name)) {
                connection.markDeparted();
            }
        });
        pool.targets().values().removeIf(connection -> {
            if (connection.isUnused()) {
                connection.link().close();
            }
            return connection.isUnused();
        });
    }

    private TargetConnection connect(TargetAnnouncement announcement, Dispatcher dispatcher) {
        AtomicReference<TargetConnection> connectionReference = new AtomicReference<>();
        Link link = new Link(
                network,
                announcement.address(),
                status -> dispatcher.post(() -> handleStatus(connectionReference.get(), status)));
        TargetConnection connection = new TargetConnection(announcement, link);
        connectionReference.set(connection);
        checkLink(connection, dispatcher);
        return connection;
    }

    /**
     * Handles a status message that the agent attaches to its heartbeats.
     *
     * @param connection the target that the agent serves
     * @param status the message; only load reports are evaluated
     */
    private static void handleStatus(TargetConnection connection, Message status) {
        if (status instanceof LoadReport report) {
            connection.updateLoad(report.load());
        }
    }

    /**
     * Reopens closed links, at most once per {@link #LINK_CHECK_INTERVAL_MS}.
     *
     * @param pools pools by service
     * @param dispatcher executes callbacks on its thread
     */
    void reopenLinks(Map<ServiceName, ServicePool> pools, Dispatcher dispatcher) {
        long now = ConfigurationStore.now();
        if (now >= nextLinkCheck) {
            nextLinkCheck = now + LINK_CHECK_INTERVAL_MS;
            pools.values().forEach(pool -> pool.targets().values().forEach(target -> checkLink(target, dispatcher)));
        }
    }

    private static void checkLink(TargetConnection target, Dispatcher dispatcher) {
        CompletableFuture<Connection> connecting = target.link().connect();
        if (connecting.isDone()) {
            target.setConnected(
                    !connecting.isCompletedExceptionally() && connecting.join().isOpen());
            return;
        }
        target.setConnected(false);
        connecting.whenComplete((connection, failure) -> dispatcher.post(() -> target.setConnected(failure == null)));
    }

    /**
     * Records the target that a request is running at.
     *
     * @param request the dispatched request
     * @param target the target of its current attempt
     */
    void assign(CallerRequest request, TargetConnection target) {
        targetsByRequest.put(request, target);
    }

    /**
     * Records that a request is no longer running at any target.
     *
     * @param request the request
     */
    void unassign(CallerRequest request) {
        targetsByRequest.remove(request);
    }

    /**
     * Asks the agent to cancel the current attempt of a request, if the request is running at a target.
     *
     * @param request the request
     */
    void cancel(CallerRequest request) {
        TargetConnection target = targetsByRequest.remove(request);
        if (target != null) {
            request.currentAttempt()
                    .ifPresent(attempt ->
                            target.link().connect().thenAccept(connection -> connection.send(new Cancel(attempt))));
        }
    }
}
