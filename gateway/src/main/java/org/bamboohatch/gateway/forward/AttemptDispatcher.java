package org.bamboohatch.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.gateway.http.InboundRequest;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.TargetConnectionPool;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.Placement.Allocation;
import org.bamboohatch.routing.fleet.PlacementPolicy;

/** Places attempts at targets and builds the headers of their requests; confined to the callers' event loop. */
final class AttemptDispatcher {

    private static final int ENGINE_CONNECT_TIMEOUT_MS = 700;

    private static final int PLAIN_SERVICE_CONNECT_TIMEOUT_MS = 250;

    /** Priority of requests with a strict inter-token latency target in an engine's queue; lower values come first. */
    private static final String STRICT_PRIORITY = "2";

    /** Priority in an engine's queue of all other requests. */
    private static final String DEFAULT_PRIORITY = "5";

    private static final int RESERVATION_NAME_RADIX = 36;

    private final GatewaySettings settings;

    private final Dialect dialect;

    private final EventLoop loop;

    private final OutboundHeaders outbound;

    private final TargetCatalog targets;

    private final LoadTracker loadTracker;

    private final MemoryCommandSender memoryCommands;

    /** Prefix of reservation names; distinguishes this host and this start of the process. */
    private final String reservationPrefix;

    /** Number of reservation names handed out. */
    private long reservationCount;

    /**
     * Creates an attempt dispatcher.
     *
     * @param settings settings of this gateway
     * @param dialect names of the header fields
     * @param loop the event loop that serves all callers
     * @param targets the known targets
     * @param pool connections to targets
     * @param loadTracker load of the targets
     * @param log the decision log
     */
    AttemptDispatcher(
            GatewaySettings settings,
            Dialect dialect,
            EventLoop loop,
            TargetCatalog targets,
            TargetConnectionPool pool,
            LoadTracker loadTracker,
            DecisionLog log) {
        this.settings = settings;
        this.dialect = dialect;
        this.loop = loop;
        this.outbound = new OutboundHeaders(dialect);
        this.targets = targets;
        this.loadTracker = loadTracker;
        this.memoryCommands = new MemoryCommandSender(dialect, loop, pool, targets, log);
        this.reservationPrefix = settings.host().value()
                + '-'
                + Long.toString(GatewayClock.read().wall(), RESERVATION_NAME_RADIX)
                + '-';
    }

    /**
     * Places a request at targets and adds its load to the load tracker.
     *
     * @param admitted route, service and deadline of the request
     * @param demand what the request needs
     * @param decided placement that was decided already at this time, empty to choose the targets
     * @param excluded targets that are not considered
     * @param now current time, in milliseconds
     * @return the occupied resources, empty if no target is suitable
     */
    Optional<AttemptResources> place(
            Admitted admitted, Demand demand, Optional<Placement> decided, Set<TargetName> excluded, long now) {
        Optional<EngineCostModel> engine =
                demand.isGeneration() ? admitted.service().engineCostModel() : Optional.empty();
        return decided.filter(placement ->
                        placement.prefillHelpers().stream().noneMatch(helper -> targets.isCold(helper, now)))
                .or(() -> ColdHelpers.placeWithout(
                        PlacementPolicy.PREDICTED,
                        demand,
                        targets.candidates(admitted.service().name(), excluded, now),
                        engine,
                        target -> targets.isCold(target, now)))
                .map(placement -> occupy(placement, demand, engine, now));
    }

    /**
     * Returns the engines that a request that was not sent yet may be sent to.
     *
     * @param service the service of the request
     * @param now current time, in milliseconds
     * @return the engines and their load
     */
    List<Candidate> candidates(FleetService service, long now) {
        return targets.candidates(service.name(), Set.of(), now);
    }

    /**
     * Adds the load of a placement to the load tracker and creates its memory reservation.
     *
     * @param placement the targets that were chosen
     * @param demand what the request needs
     * @param engine cost model of the targets, empty if they aren't model engines
     * @param now current time, in milliseconds
     * @return the occupied resources
     */
    private AttemptResources occupy(Placement placement, Demand demand, Optional<EngineCostModel> engine, long now) {
        int engineCount = 1 + placement.prefillHelpers().size();
        double prefillMillis = engine.map(model -> model.prefillMillis(demand.promptTokens()) / engineCount)
                .orElse(0.0);
        List<LoadTracker.TrackedRequest> trackedLoad = new ArrayList<>();
        trackedLoad.add(loadTracker.add(
                placement.target(),
                demand.promptTokens(),
                placement.targetMemoryTokens(demand),
                demand.hasStrictInterTokenLatency(),
                true,
                prefillMillis,
                now));
        for (int helper = 0; helper < placement.prefillHelpers().size(); helper++) {
            List<Allocation> allocations = placement.allocations();
            long reservedTokens =
                    helper < allocations.size() ? allocations.get(helper).tokens() : 0;
            trackedLoad.add(loadTracker.add(
                    placement.prefillHelpers().get(helper),
                    demand.promptTokens() / engineCount,
                    reservedTokens,
                    false,
                    false,
                    prefillMillis,
                    now));
        }
        reservationCount++;
        MemoryReservation memory = new MemoryReservation(
                memoryCommands,
                (millis, action) -> loop.schedule(action, millis, TimeUnit.MILLISECONDS),
                reservationPrefix + Long.toString(reservationCount, RESERVATION_NAME_RADIX),
                settings.memoryLeaseMillis(),
                placement.allocations());
        return new AttemptResources(
                placement, targets.find(placement.target()), helpers(placement, memory.name()), trackedLoad, memory);
    }

    /**
     * Formats the helpers of a placement for their header field.
     *
     * @param placement the targets that were chosen
     * @param reservationName name of the reservation, added to the helpers that reserve memory
     * @return value of the header field, empty if there are no helpers
     */
    private String helpers(Placement placement, String reservationName) {
        Set<TargetName> reservedAt =
                placement.allocations().stream().map(Allocation::engine).collect(Collectors.toSet());
        return placement.prefillHelpers().stream()
                .map(helper -> {
                    String address = targets.find(helper).address();
                    return reservedAt.contains(helper)
                            ? dialect.memory().formatHelper(address, reservationName)
                            : address;
                })
                .collect(Collectors.joining(","));
    }

    /**
     * Indicates whether an attempt may still be sent, as its targets may have changed since it was placed.
     *
     * @param resources the targets of the attempt
     * @param now current time, in milliseconds
     * @return whether the target accepts requests and no helper is in an evacuated zone
     */
    boolean maySend(AttemptResources resources, long now) {
        targets.applyArrivedReports();
        return targets.acceptsRequests(resources.target(), now) && !hasEvacuatedHelper(resources);
    }

    private boolean hasEvacuatedHelper(AttemptResources resources) {
        return resources.placement().prefillHelpers().stream().anyMatch(targets::isEvacuated);
    }

    /**
     * Returns the target that is excluded from further placements of a request whose attempt was not sent.
     *
     * @param resources the targets of the attempt
     * @return the target, empty if a helper was evacuated: the target stays a candidate, as it may be the only one
     */
    Optional<TargetName> unsuitableTarget(AttemptResources resources) {
        return hasEvacuatedHelper(resources)
                ? Optional.empty()
                : Optional.of(resources.target().target());
    }

    /**
     * Indicates whether the service has a target that is not excluded.
     *
     * @param admitted route, service and deadline of the request
     * @param excluded targets that are not considered
     * @param now current time, in milliseconds
     * @return whether there is such a target
     */
    boolean hasTarget(Admitted admitted, Set<TargetName> excluded, long now) {
        return targets.hasCandidate(admitted.service().name(), excluded, now);
    }

    /**
     * Builds the header fields of the request to a target.
     *
     * @param request the request of the caller
     * @param admitted route, service and deadline of the request
     * @param demand what the request needs
     * @param resources the targets of the attempt
     * @param remainingMillis time until the deadline, in milliseconds
     * @return the header fields
     */
    HttpHeaders headers(
            InboundRequest request,
            Admitted admitted,
            Demand demand,
            AttemptResources resources,
            long remainingMillis) {
        HttpHeaders headers = outbound.request(
                request, remainingMillis, resources.target().target().value());
        admitted.account()
                .ifPresent(account ->
                        headers.set(dialect.clientAccount(), account.name().value()));
        if (demand.isGeneration()) {
            headers.set(dialect.priority(), demand.hasStrictInterTokenLatency() ? STRICT_PRIORITY : DEFAULT_PRIORITY);
        }
        if (!resources.helpers().isEmpty()) {
            headers.set(dialect.prefillHelpers(), resources.helpers());
        }
        return headers;
    }

    HttpHeaders responseHeaders(HttpHeaders response) {
        return outbound.response(response);
    }

    int connectTimeoutMillis(Demand demand) {
        return demand.isGeneration() ? ENGINE_CONNECT_TIMEOUT_MS : PLAIN_SERVICE_CONNECT_TIMEOUT_MS;
    }
}
