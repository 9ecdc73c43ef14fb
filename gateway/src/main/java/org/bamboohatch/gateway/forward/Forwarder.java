package org.bamboohatch.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewayMetrics;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.configuration.FleetCopy;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.gateway.forward.AdmissionResult.Refused;
import org.bamboohatch.gateway.http.Exchanges;
import org.bamboohatch.gateway.http.InboundRequest;
import org.bamboohatch.gateway.http.Responder;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetPool;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Weight;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.retry.SharedRetryBudget;

/** Forwards requests to targets; used on the thread of all callers only. */
public final class Forwarder implements Exchanges {

    /** Time after which a caller should ask again when this gateway is stopping: another one takes it at once. */
    private static final Duration STOPPING_RETRY = Duration.ofMillis(20);

    /** The settings. */
    private final GatewaySettings settings;

    /** Names of the header fields. */
    private final Dialect dialect;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** The gateway's copy of the configuration. */
    private final FleetCopy store;

    /** Decides whether requests are let in. */
    private final RequestAdmission gate;

    /** Chooses targets. */
    private final AttemptDispatcher dispatcher;

    /** Connections to targets. */
    private final TargetPool pool;

    /** The targets. */
    private final TargetRegistry targets;

    /** Budgets of repeated sends by service. */
    private final Map<ServiceName, SharedRetryBudget> budgets = new HashMap<>();

    /** Log of the decisions. */
    private final DecisionLog log = new DecisionLog("request");

    /** Counters and histograms. */
    private final GatewayMetrics metrics;

    /** Whether requests are let in. */
    private boolean admitting = true;

    /** Requests that are under way. */
    private int openRequests;

    /**
     * Creates a forwarder.
     *
     * @param settings the settings
     * @param dialect names of the header fields
     * @param loop the thread of all callers
     * @param store the gateway's copy of the configuration
     * @param book work at targets
     * @param metrics counters and histograms
     */
    public Forwarder(
            GatewaySettings settings,
            Dialect dialect,
            EventLoop loop,
            FleetCopy store,
            LoadTracker book,
            GatewayMetrics metrics) {
        this.metrics = metrics;
        this.settings = settings;
        this.dialect = dialect;
        this.loop = loop;
        this.store = store;
        this.gate = new RequestAdmission(dialect, settings.freshnessMillis());
        this.pool = new TargetPool(loop, dialect.requestId());
        this.targets = new TargetRegistry(settings.host(), settings.zone(), book);
        this.dispatcher = new AttemptDispatcher(settings, dialect, loop, targets, pool, book, log);
    }

    /**
     * Takes a new copy of the membership.
     *
     * @param view the copy
     */
    public void apply(FleetView view) {
        Set<TargetAddress> present = targets.apply(view);
        pool.retain(present, GatewayClock.now());
    }

    /**
     * Counts the requests that are under way.
     *
     * @return their number
     */
    public int openRequests() {
        return openRequests;
    }

    /** Turns further requests away: what comes now could be cut off by the end of the process. */
    public void stopAdmitting() {
        admitting = false;
    }

    @Override
    public Listener begin(InboundRequest request, Responder responder) {
        if (!admitting) {
            metrics.turnedAway(ErrorCode.NOT_READY.word());
            responder.refuse(Refusal.notRun(ErrorCode.NOT_READY, "The gateway is stopping.")
                    .withRetryAfter(STOPPING_RETRY));
            return Idle.INSTANCE;
        }
        GatewayClock now = GatewayClock.read();
        AdmissionResult admission = gate.decide(request, store.view(), store.age(now));
        if (admission instanceof Refused refused) {
            log.line(Weight.FAILURE, "turned-away")
                    .with("request", request.headers().get(dialect.requestId()))
                    .with("code", refused.refusal().code().word())
                    .with("configuration", store.view().configurationVersion())
                    .with("ageMs", store.age(now))
                    .write();
            metrics.turnedAway(refused.refusal().code().word());
            responder.refuse(refused.refusal());
            return Idle.INSTANCE;
        }
        Admitted admitted = (Admitted) admission;
        ServiceName service = admitted.service().name();
        budgets.put(service, budget(service, now.monotonic()).earn(terms()));
        ForwardedRequest forwarding =
                new ForwardedRequest(this, request, responder, admitted, demand(request, admitted));
        openRequests++;
        forwarding.begin();
        return forwarding;
    }

    /**
     * Reads what a request asks of a target.
     *
     * @param request the request
     * @param admitted what the admission found
     * @return the demand
     */
    private Demand demand(InboundRequest request, Admitted admitted) {
        long prompt = 0;
        long answer = 0;
        String counts = request.headers().get(dialect.tokenCounts());
        if (counts != null && admitted.service().engineCostModel().isPresent()) {
            String[] parts = counts.split(",");
            prompt = parse(parts[0]);
            answer = parts.length > 1 ? parse(parts[1]) : 0;
            answer = Math.min(answer, request.number(dialect.lengthHint(), answer));
        }
        return new Demand(
                prompt,
                answer,
                admitted.route().targetLatencyMillis(),
                admitted.route().maximumInterTokenMillis());
    }

    /**
     * Reads a number of tokens.
     *
     * @param text the text
     * @return the number, zero if it is none
     */
    private static long parse(String text) {
        try {
            return Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    /**
     * Returns what the budget of repeated sends allows.
     *
     * @return the terms
     */
    private SharedRetryBudget.Limits terms() {
        return new SharedRetryBudget.Limits(
                settings.retryRatio(),
                settings.retryReserve(),
                settings.retryWindowMillis(),
                Math.max(1, store.view().gateways().size()));
    }

    /**
     * Returns the budget of a service.
     *
     * @param service the service
     * @param now the present time
     * @return the budget
     */
    private SharedRetryBudget budget(ServiceName service, long now) {
        SharedRetryBudget.Limits terms = terms();
        return budgets.getOrDefault(service, SharedRetryBudget.full(terms, now)).refill(terms, now);
    }

    /**
     * Tells whether a repeated send is covered.
     *
     * @param admitted what the admission found
     * @param now the present time
     * @return whether the budget of its service covers it
     */
    boolean hasBudget(Admitted admitted, long now) {
        return budget(admitted.service().name(), now).allowsRetry();
    }

    /**
     * Takes a repeated send from the budget.
     *
     * @param admitted what the admission found
     * @param now the present time
     * @return whether it was covered
     */
    boolean takeBudget(Admitted admitted, long now) {
        ServiceName service = admitted.service().name();
        SharedRetryBudget budget = budget(service, now);
        if (!budget.allowsRetry()) {
            return false;
        }
        budgets.put(service, budget.spend());
        metrics.repeated();
        return true;
    }

    /**
     * Takes note of the beginning of an answer.
     *
     * @param forwarding the request
     * @param attempt the attempt that answers
     * @param now the present time
     */
    void onFirst(ForwardedRequest forwarding, ForwardingAttempt attempt, long now) {
        metrics.first(forwarding.demand(), now - forwarding.request().arrivedAt());
        log(Weight.ROUTINE, "first", forwarding)
                .with("target", attempt.target().target())
                .with("afterMs", now - attempt.beganAt())
                .with("sinceArrivalMs", now - forwarding.request().arrivedAt())
                .write();
    }

    /**
     * Takes note of the end of a request.
     *
     * @param forwarding the request
     * @param outcome how it ended
     */
    void onEnd(ForwardedRequest forwarding, String outcome) {
        long took = GatewayClock.now() - forwarding.request().arrivedAt();
        metrics.end(forwarding.demand(), outcome, took, forwarding.cutter().longestPause());
        openRequests--;
    }

    /**
     * Begins a line about a request.
     *
     * @param weight how much it matters
     * @param event what was decided
     * @param forwarding the request
     * @return the line
     */
    DecisionLog.Line log(Weight weight, String event, ForwardedRequest forwarding) {
        return forwarding.describe(log.line(weight, event));
    }

    /**
     * Returns the names of header fields.
     *
     * @return the names
     */
    Dialect dialect() {
        return dialect;
    }

    /**
     * Returns the thread of all callers.
     *
     * @return the thread
     */
    EventLoop loop() {
        return loop;
    }

    /**
     * Returns the connections to targets.
     *
     * @return the pool
     */
    TargetPool pool() {
        return pool;
    }

    /**
     * Returns what chooses targets.
     *
     * @return the dispatcher
     */
    AttemptDispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns the targets.
     *
     * @return the targets
     */
    TargetRegistry targets() {
        return targets;
    }

    /** Listener of a request that was turned away. */
    private enum Idle implements Listener {
        /** The only instance. */
        INSTANCE;

        @Override
        public void onGone() {
            // There is no work to cancel.
        }

        @Override
        public void onWritable() {
            // There is nothing more to send.
        }
    }
}
