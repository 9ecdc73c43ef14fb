package org.bamboohatch.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewayMetrics;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.gateway.buffer.GatewayBuffers;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.configuration.FleetViewSource;
import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.gateway.forward.AdmissionResult.Refused;
import org.bamboohatch.gateway.http.CallerRequestHandler;
import org.bamboohatch.gateway.http.InboundRequest;
import org.bamboohatch.gateway.http.Responder;
import org.bamboohatch.gateway.load.ExchangedState;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetConnectionPool;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.bamboohatch.routing.retry.ConcurrencyRamp;
import org.bamboohatch.routing.retry.ReturnDelay;
import org.bamboohatch.routing.retry.SharedRetryBudget;

/** Admits the requests of callers and forwards them to targets; confined to the callers' event loop. */
public final class Forwarder implements CallerRequestHandler {

    /** Retry delay for callers of a stopping gateway; short, because another gateway accepts the request at once. */
    private static final Duration STOPPING_RETRY_DELAY = Duration.ofMillis(20);

    private final GatewaySettings settings;

    private final Dialect dialect;

    private final EventLoop loop;

    private final FleetViewSource configuration;

    private final RequestAdmission requestAdmission;

    private final AttemptDispatcher dispatcher;

    private final TargetConnectionPool pool;

    private final TargetCatalog targets;

    private final RequestQuarantine quarantine;

    private final ColdTargets coldTargets;

    private final TargetRamps ramps;

    /** Retry budgets by service. */
    private final Map<ServiceName, SharedRetryBudget> budgets = new HashMap<>();

    private final DecisionLog log = new DecisionLog("request");

    private final GatewayBuffers buffers;

    private final GatewayMetrics metrics;

    private final WaitingRequests waitingRequests;

    /** Monotonic time from which on requests are refused, in milliseconds. */
    private long admissionEndsAt = Long.MAX_VALUE;

    /** Monotonic time at which requests in progress are ended, in milliseconds; infinite unless a drain has begun. */
    private double answersEndAt = Double.POSITIVE_INFINITY;

    /** The requests in progress. */
    private final Set<ForwardedRequest> openRequests = new HashSet<>();

    /**
     * Creates a forwarder without targets.
     *
     * @param settings settings of this gateway
     * @param dialect names of the header fields
     * @param loop the event loop that serves all callers
     * @param configuration this gateway's copy of the configuration and the membership
     * @param state state of the targets that gateways exchange
     * @param buffers memory of the requests and responses
     * @param metrics counters and histograms of this gateway
     */
    public Forwarder(
            GatewaySettings settings,
            Dialect dialect,
            EventLoop loop,
            FleetViewSource configuration,
            ExchangedState state,
            GatewayBuffers buffers,
            GatewayMetrics metrics) {
        this.buffers = buffers;
        this.metrics = metrics;
        this.quarantine = state.quarantine();
        this.settings = settings;
        this.dialect = dialect;
        this.loop = loop;
        this.configuration = configuration;
        this.requestAdmission = new RequestAdmission(dialect, settings.freshnessMillis());
        this.coldTargets = state.coldTargets();
        this.ramps = state.ramps();
        this.targets = new TargetCatalog(settings.host(), settings.zone(), state);
        this.pool = new TargetConnectionPool(
                loop, dialect.requestId(), new TargetNotices(dialect, targets, log), buffers.responses());
        this.dispatcher = new AttemptDispatcher(settings, dialect, loop, targets, pool, state.loadTracker(), log);
        this.waitingRequests = new WaitingRequests(settings, this, state.waitingWork(), metrics);
    }

    /**
     * Replaces the known targets. Closes the idle connections to targets that left, and those idle for too long.
     *
     * @param view the new copy of the configuration and the membership
     */
    public void apply(FleetView view) {
        long now = GatewayClock.now();
        Set<TargetAddress> present = targets.apply(view, now);
        pool.retain(present, now);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of admitted requests whose response has not ended
     */
    public int openRequests() {
        return openRequests.size();
    }

    /**
     * Returns the number of prompt parts and requests that are kept from targets.
     *
     * @return the number as of the last assessment
     */
    public int quarantinedTraits() {
        return quarantine.size();
    }

    /**
     * Returns the number of targets whose rate is limited because they are cold.
     *
     * @return the number as of the last placement
     */
    public int coldTargets() {
        return coldTargets.size();
    }

    /**
     * Returns the number of placements that left out a cold target because of its rate.
     *
     * @return the number since the start of the process
     */
    public long heldOffByCold() {
        return coldTargets.heldOff();
    }

    /**
     * Returns the number of targets whose concurrent requests are limited because they have started.
     *
     * @return the number as of the last placement
     */
    public int rampedTargets() {
        return ramps.size();
    }

    /**
     * Returns the number of placements that left out a target because of the limit of its ramp.
     *
     * @return the number since the start of the process
     */
    public long heldOffByRamps() {
        return ramps.heldOff();
    }

    /** Refuses all further requests, because the end of the process could cut off their responses. */
    public void stopAdmitting() {
        admissionEndsAt = Long.MIN_VALUE;
    }

    /**
     * Sets the times from which on requests are refused and at which those in progress are ended.
     *
     * @param schedule phases of the drain
     * @param now current time, at which the drain begins, in milliseconds
     */
    public void beginDrain(DrainSchedule schedule, long now) {
        admissionEndsAt = now + schedule.admissionMillis();
        answersEndAt = now + schedule.answerMillis();
    }

    /**
     * Ends all requests in progress and refuses further ones. A response that has begun is aborted; other callers are told
     * whether their request may have run.
     */
    public void endRequests() {
        stopAdmitting();
        List.copyOf(openRequests).forEach(forwarded -> forwarded.onProcessEnd(stoppingRefusal()));
    }

    /**
     * Indicates whether the gateway admits no further requests.
     *
     * @param now current time, in milliseconds
     * @return whether it is stopping
     */
    boolean isStopping(long now) {
        return now >= admissionEndsAt;
    }

    static Refusal stoppingRefusal() {
        return Refusal.notRun(ErrorCode.NOT_READY, "The gateway is stopping.").withRetryAfter(STOPPING_RETRY_DELAY);
    }

    @Override
    public Listener begin(InboundRequest request, Responder responder) {
        GatewayClock now = GatewayClock.read();
        if (isStopping(now.monotonic())) {
            return refuse(stoppingRefusal(), responder);
        }
        targets.applyArrivedReports();
        AdmissionResult result = requestAdmission.decide(request, configuration.view(), configuration.ageMillis(now));
        if (result instanceof Refused refused) {
            log.line(Category.FAILURE, "turned-away")
                    .with("request", request.headers().get(dialect.requestId()))
                    .with("code", refused.refusal().code().wireName())
                    .with("configuration", configuration.view().configurationVersion())
                    .with("ageMs", configuration.ageMillis(now))
                    .write();
            return refuse(refused.refusal(), responder);
        }
        Admitted admitted = (Admitted) result;
        Demand demand = demand(request, admitted);
        if (now.monotonic() + expectedMillis(admitted, demand) > answersEndAt) {
            return refuse(stoppingRefusal(), responder);
        }
        ServiceName service = admitted.service().name();
        budgets.put(service, budget(service, now.monotonic()).earn(budgetLimits()));
        ForwardedRequest forwarded = new ForwardedRequest(this, request, responder, admitted, demand);
        openRequests.add(forwarded);
        forwarded.begin();
        waitingRequests.begin(forwarded, admitted);
        return forwarded;
    }

    private Listener refuse(Refusal refusal, Responder responder) {
        metrics.recordRejection(refusal.code().wireName());
        responder.refuse(refusal);
        return Listener.Disabled.INSTANCE;
    }

    /**
     * Estimates how long a request takes. A generation may outlast the target latency, which is that of its first event.
     *
     * @param admitted route, service and deadline of the request
     * @param demand what the request needs from a target
     * @return the expected time until the response is complete, in milliseconds
     */
    private static double expectedMillis(Admitted admitted, Demand demand) {
        double generationMillis = admitted.service()
                .engineCostModel()
                .map(engine -> engine.generationMillis(demand.promptTokens(), demand.outputTokens()))
                .orElse(0.0);
        return Math.max(demand.targetLatencyMillis(), generationMillis);
    }

    /**
     * Derives from the header fields of a request what it needs from a target. Token counts are taken into account for
     * services with model engines only; the caller's estimate can only lower the number of output tokens.
     *
     * @param request the request of the caller
     * @param admitted route, service and deadline of the request
     * @return the demand, without tokens for a plain service
     */
    private Demand demand(InboundRequest request, Admitted admitted) {
        long promptTokens = 0;
        long outputTokens = 0;
        String counts = request.headers().get(dialect.tokenCounts());
        if (counts != null && admitted.service().engineCostModel().isPresent()) {
            String[] parts = counts.split(",");
            promptTokens = parseTokens(parts[0]);
            outputTokens = parts.length > 1 ? parseTokens(parts[1]) : 0;
            outputTokens = Math.min(outputTokens, request.longHeader(dialect.outputTokensHint(), outputTokens));
        }
        return new Demand(
                promptTokens,
                outputTokens,
                admitted.route().targetLatencyMillis(),
                admitted.route().maximumInterTokenMillis());
    }

    /**
     * Parses a number of tokens.
     *
     * @param text the text to parse
     * @return the number, zero if the text is malformed or the number negative
     */
    private static long parseTokens(String text) {
        try {
            return Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    private SharedRetryBudget.Limits budgetLimits() {
        return new SharedRetryBudget.Limits(
                settings.retryRatio(),
                settings.retryReserve(),
                settings.retryWindowMillis(),
                Math.max(1, configuration.view().gateways().size()));
    }

    /**
     * Returns the retry budget of a service, replenished up to the current time.
     *
     * @param service name of the service
     * @param now current time, in milliseconds
     * @return the budget
     */
    private SharedRetryBudget budget(ServiceName service, long now) {
        SharedRetryBudget.Limits limits = budgetLimits();
        return budgets.getOrDefault(service, SharedRetryBudget.full(limits, now))
                .refill(limits, now);
    }

    boolean hasBudget(Admitted admitted, long now) {
        return budget(admitted.service().name(), now).allowsRetry();
    }

    /**
     * Spends one retry of the budget of a request's service.
     *
     * @param admitted route, service and deadline of the request
     * @param now current time, in milliseconds
     * @return whether the budget covered the retry
     */
    boolean spendBudget(Admitted admitted, long now) {
        ServiceName service = admitted.service().name();
        SharedRetryBudget budget = budget(service, now);
        if (!budget.allowsRetry()) {
            return false;
        }
        budgets.put(service, budget.spend());
        metrics.recordRetry();
        return true;
    }

    /**
     * Returns the delay after which the caller of a request that no target took may return.
     *
     * @param request the request of the caller
     * @param admitted route, service and deadline of the request
     * @param now current time, in milliseconds
     * @return the delay
     */
    Duration returnDelay(InboundRequest request, Admitted admitted, long now) {
        long hash = Hashing.wyhashFinal4().hashCharsToLong(request.headers().get(dialect.requestId()));
        return ReturnDelay.afterRefusal(
                targets.shortestPauseMillis(admitted.service().name(), now), hash);
    }

    void onResponseBegin(ForwardedRequest forwarded, ForwardingAttempt attempt, HttpResponse head, long now) {
        boolean inTime = head.status().code() < TargetStatus.SERVER_ERROR
                && ConcurrencyRamp.isInTime(
                        now - (double) attempt.startedAt(),
                        attempt.resources().placement().timeToFirstTokenMillis(),
                        forwarded.demand().targetLatencyMillis());
        targets.recordFirstEvent(attempt.target(), attempt.startedAt(), inTime, now);
        metrics.recordFirstByte(forwarded.demand(), now - forwarded.request().arrivedAt());
        waitingRequests.examineSoon();
    }

    void onEnd(ForwardedRequest forwarded, String outcome) {
        long tookMillis = GatewayClock.now() - forwarded.request().arrivedAt();
        metrics.recordEnd(
                forwarded.demand(), outcome, tookMillis, forwarded.framer().longestInterTokenMillis());
        openRequests.remove(forwarded);
        waitingRequests.onEnd(forwarded);
    }

    DecisionLog decisionLog() {
        return log;
    }

    Dialect dialect() {
        return dialect;
    }

    BufferBudget.Holder openResponseBuffer() {
        return buffers.responses().open();
    }

    EventLoop loop() {
        return loop;
    }

    TargetConnectionPool pool() {
        return pool;
    }

    AttemptDispatcher dispatcher() {
        return dispatcher;
    }

    RequestQuarantine quarantine() {
        return quarantine;
    }

    TargetCatalog targets() {
        return targets;
    }
}
