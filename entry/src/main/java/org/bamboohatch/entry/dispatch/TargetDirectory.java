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

/** Keeps the links to the targets in step with the membership; used on the dispatcher's thread only. */
@Singleton
public final class TargetDirectory {

    /** Time between two looks at the links, in milliseconds. */
    private static final long LOOK_INTERVAL_MS = 100;

    /** The settings. */
    private final EntrySettings settings;

    /** The network threads. */
    private final Network network;

    /** Targets that run requests, by request. */
    private final Map<CallerRequest, TargetConnection> running = new java.util.HashMap<>();

    /** Time of the next look at the links. */
    private long nextLook;

    /**
     * Creates a directory.
     *
     * @param settings the settings
     * @param network the network threads
     */
    @Inject
    public TargetDirectory(EntrySettings settings, Network network) {
        this.settings = settings;
        this.network = network;
    }

    /**
     * Takes a new copy of the membership.
     *
     * @param snapshot the copy
     * @param pools the pools by service
     * @param dispatcher runs tasks on its thread
     */
    void update(RoutingSnapshot snapshot, Map<ServiceName, ServicePool> pools, Dispatcher dispatcher) {
        for (ServiceName service : snapshot.services().keySet()) {
            pools.computeIfAbsent(service, added -> new ServicePool());
        }
        pools.forEach((service, pool) -> updatePool(service, pool, snapshot, dispatcher));
    }

    /**
     * Brings the targets of one pool in step.
     *
     * @param service the service
     * @param pool the pool
     * @param snapshot the copy
     * @param dispatcher runs tasks on its thread
     */
    private void updatePool(ServiceName service, ServicePool pool, RoutingSnapshot snapshot, Dispatcher dispatcher) {
        List<TargetName> members = snapshot.targets().values().stream()
                .filter(target -> target.service().equals(service))
                .map(TargetAnnouncement::target)
                .toList();
        Set<TargetName> chosen = new HashSet<>(TargetSubset.select(settings.host(), members));
        for (TargetName name : chosen) {
            TargetAnnouncement announcement = snapshot.targets().get(name);
            TargetConnection known = pool.targets().get(name);
            boolean moved = known != null && !known.announcement().address().equals(announcement.address());
            if (known == null || moved) {
                pool.targets().put(name, connect(announcement, dispatcher));
            } else {
                known.announce(announcement);
            }
        }
        pool.targets().forEach((name, connection) -> {
            if (!chosen.contains(name)) {
                connection.depart();
            }
        });
        pool.targets().values().removeIf(connection -> {
            if (connection.isSpent()) {
                connection.link().close();
            }
            return connection.isSpent();
        });
    }

    /**
     * Begins to keep a link to a target.
     *
     * @param announcement the target
     * @param dispatcher runs tasks on its thread
     * @return the connection
     */
    private TargetConnection connect(TargetAnnouncement announcement, Dispatcher dispatcher) {
        AtomicReference<TargetConnection> holder = new AtomicReference<>();
        Link link = new Link(
                network, announcement.address(), status -> dispatcher.post(() -> report(holder.get(), status)));
        TargetConnection connection = new TargetConnection(announcement, link);
        holder.set(connection);
        look(connection, dispatcher);
        return connection;
    }

    /**
     * Takes what an agent tells with its signs of life.
     *
     * @param connection the target
     * @param status the message
     */
    private static void report(TargetConnection connection, Message status) {
        if (status instanceof LoadReport report) {
            connection.report(report.load());
        }
    }

    /**
     * Opens links that are not open.
     *
     * @param pools the pools by service
     * @param dispatcher runs tasks on its thread
     */
    void keepConnected(Map<ServiceName, ServicePool> pools, Dispatcher dispatcher) {
        long now = ConfigurationStore.now();
        if (now >= nextLook) {
            nextLook = now + LOOK_INTERVAL_MS;
            pools.values().forEach(pool -> pool.targets().values().forEach(target -> look(target, dispatcher)));
        }
    }

    /**
     * Looks whether a link is open and opens it if it is not.
     *
     * @param target the target
     * @param dispatcher runs tasks on its thread
     */
    private static void look(TargetConnection target, Dispatcher dispatcher) {
        CompletableFuture<Connection> connecting = target.link().connect();
        if (connecting.isDone()) {
            target.connected(
                    !connecting.isCompletedExceptionally() && connecting.join().isOpen());
            return;
        }
        target.connected(false);
        connecting.whenComplete((connection, problem) -> dispatcher.post(() -> target.connected(problem == null)));
    }

    /**
     * Takes note of the target that runs a request.
     *
     * @param request the request
     * @param target the target
     */
    void runs(CallerRequest request, TargetConnection target) {
        running.put(request, target);
    }

    /**
     * Takes note that no target runs a request.
     *
     * @param request the request
     */
    void ended(CallerRequest request) {
        running.remove(request);
    }

    /**
     * Cancels the present attempt of a request.
     *
     * @param request the request
     */
    void cancel(CallerRequest request) {
        TargetConnection target = running.remove(request);
        if (target != null) {
            request.current()
                    .ifPresent(attempt ->
                            target.link().connect().thenAccept(connection -> connection.tell(new Cancel(attempt))));
        }
    }
}
