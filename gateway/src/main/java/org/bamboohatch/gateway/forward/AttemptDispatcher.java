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
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.gateway.http.InboundRequest;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.TargetPool;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.Placement.Allocation;
import org.bamboohatch.routing.fleet.PlacementPolicy;

/** Chooses targets for requests and makes what is sent there; used on the thread of all callers only. */
final class AttemptDispatcher {

    /** Time for opening a connection to an engine, in milliseconds. */
    private static final int ENGINE_CONNECT_MS = 700;

    /** Time for opening a connection to a plain service, in milliseconds. */
    private static final int PLAIN_CONNECT_MS = 250;

    /** Rank at an engine's queue of requests whose pauses must be short. */
    private static final String URGENT = "2";

    /** Rank at an engine's queue of other requests. */
    private static final String USUAL = "5";

    /** Base of the numbers in names of reservations. */
    private static final int NAME_RADIX = 36;

    /** The settings. */
    private final GatewaySettings settings;

    /** Names of the header fields. */
    private final Dialect dialect;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** Chooses header fields. */
    private final OutboundHeaders outbound;

    /** The targets. */
    private final TargetRegistry targets;

    /** Work at targets. */
    private final LoadTracker book;

    /** Sends orders about memory. */
    private final MemoryCommandSender orders;

    /** What the names of this start's reservations begin with. */
    private final String reservationPrefix;

    /** Reservations so far. */
    private long reservations;

    /**
     * Creates a dispatcher.
     *
     * @param settings the settings
     * @param dialect names of the header fields
     * @param loop the thread of all callers
     * @param targets the targets
     * @param pool connections to targets
     * @param book work at targets
     * @param log log of the decisions
     */
    AttemptDispatcher(
            GatewaySettings settings,
            Dialect dialect,
            EventLoop loop,
            TargetRegistry targets,
            TargetPool pool,
            LoadTracker book,
            DecisionLog log) {
        this.settings = settings;
        this.dialect = dialect;
        this.loop = loop;
        this.outbound = new OutboundHeaders(dialect);
        this.targets = targets;
        this.book = book;
        this.orders = new MemoryCommandSender(dialect, loop, pool, targets, log);
        this.reservationPrefix = settings.host().value()
                + '-'
                + Long.toString(GatewayClock.read().wall(), NAME_RADIX)
                + '-';
    }

    /**
     * Chooses targets for a request and takes note of its work there.
     *
     * @param admitted what the admission found
     * @param demand what the request asks
     * @param tried targets that it was sent to already
     * @param now the present time
     * @return the way, empty if there is no target
     */
    Optional<AttemptResources> choose(Admitted admitted, Demand demand, Set<TargetName> tried, long now) {
        Optional<EngineCostModel> engine =
                demand.isGeneration() ? admitted.service().engineCostModel() : Optional.empty();
        return PlacementPolicy.PREDICTED
                .place(demand, targets.candidates(admitted.service().name(), tried, now), engine)
                .map(placement -> dispatch(placement, demand, engine, now));
    }

    /**
     * Takes note of the work of a request at its targets.
     *
     * @param placement the targets
     * @param demand what the request asks
     * @param engine what the work costs if the targets are model engines
     * @param now the present time
     * @return the way there
     */
    private AttemptResources dispatch(Placement placement, Demand demand, Optional<EngineCostModel> engine, long now) {
        int readers = 1 + placement.prefillHelpers().size();
        double reading = engine.map(model -> model.prefillMillis(demand.promptTokens()) / readers)
                .orElse(0.0);
        List<LoadTracker.TrackedRequest> work = new ArrayList<>();
        work.add(book.add(
                placement.target(),
                demand.promptTokens(),
                placement.targetMemoryTokens(demand),
                demand.hasStrictInterTokenLatency(),
                true,
                reading,
                now));
        for (int helper = 0; helper < placement.prefillHelpers().size(); helper++) {
            List<Allocation> allocations = placement.allocations();
            long held = helper < allocations.size() ? allocations.get(helper).tokens() : 0;
            work.add(book.add(
                    placement.prefillHelpers().get(helper),
                    demand.promptTokens() / readers,
                    held,
                    false,
                    false,
                    reading,
                    now));
        }
        reservations++;
        MemoryReservation memory = new MemoryReservation(
                orders,
                (millis, action) -> loop.schedule(action, millis, TimeUnit.MILLISECONDS),
                reservationPrefix + Long.toString(reservations, NAME_RADIX),
                settings.memoryLeaseMillis(),
                placement.allocations());
        return new AttemptResources(
                placement, targets.find(placement.target()), helpers(placement, memory.reservation()), work, memory);
    }

    /**
     * Names the helpers of a placement as their header field does.
     *
     * @param placement the targets
     * @param reservation name of the reservations at those that hold memory
     * @return value of the field, empty if there are none
     */
    private String helpers(Placement placement, String reservation) {
        Set<TargetName> holders =
                placement.allocations().stream().map(Allocation::engine).collect(Collectors.toSet());
        return placement.prefillHelpers().stream()
                .map(helper -> {
                    String address = targets.find(helper).address();
                    return holders.contains(helper) ? dialect.memory().helper(address, reservation) : address;
                })
                .collect(Collectors.joining(","));
    }

    /**
     * Tells whether there is a target that the request was not sent to yet.
     *
     * @param admitted what the admission found
     * @param tried targets that it was sent to already
     * @param now the present time
     * @return whether there is one
     */
    boolean hasTarget(Admitted admitted, Set<TargetName> tried, long now) {
        return !targets.candidates(admitted.service().name(), tried, now).isEmpty();
    }

    /**
     * Makes the header fields for a target.
     *
     * @param request the request
     * @param admitted what the admission found
     * @param demand what the request asks
     * @param dispatch the way to the targets
     * @param leftMillis time that is left for the answer, in milliseconds
     * @return the fields
     */
    HttpHeaders headers(
            InboundRequest request, Admitted admitted, Demand demand, AttemptResources dispatch, long leftMillis) {
        HttpHeaders headers =
                outbound.request(request, leftMillis, dispatch.target().target().value());
        admitted.account()
                .ifPresent(
                        account -> headers.set(dialect.account(), account.name().value()));
        if (demand.isGeneration()) {
            headers.set(dialect.priority(), demand.hasStrictInterTokenLatency() ? URGENT : USUAL);
        }
        if (!dispatch.helpers().isEmpty()) {
            headers.set(dialect.helpers(), dispatch.helpers());
        }
        return headers;
    }

    /**
     * Makes the header fields for a caller.
     *
     * @param answer the target's fields
     * @return the fields
     */
    HttpHeaders answerHeaders(HttpHeaders answer) {
        return outbound.answer(answer);
    }

    /**
     * Returns the time for opening a connection.
     *
     * @param demand what the request asks
     * @return the time in milliseconds
     */
    int connectMillis(Demand demand) {
        return demand.isGeneration() ? ENGINE_CONNECT_MS : PLAIN_CONNECT_MS;
    }
}
