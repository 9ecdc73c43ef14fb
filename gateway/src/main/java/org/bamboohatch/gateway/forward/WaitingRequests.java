package org.bamboohatch.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.document.fleet.FleetAccount;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewayMetrics;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.gateway.load.WaitingWork;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.wait.DispatchDecision;
import org.bamboohatch.routing.wait.DispatchDecision.Dispatch;
import org.bamboohatch.routing.wait.DispatchDecision.Refuse;
import org.bamboohatch.routing.wait.DispatchDecision.Wait;
import org.bamboohatch.routing.wait.DispatchPolicy;
import org.bamboohatch.routing.wait.GenerationQueue;
import org.bamboohatch.routing.wait.QueuedGeneration;
import org.bamboohatch.routing.wait.WorkAhead;

/**
 * The requests that wait until engines can begin them. First attempts only: further attempts and resumed streams are sent
 * at once. Confined to the callers' event loop.
 */
final class WaitingRequests {

    /** Interval at which waiting requests are examined if nothing else causes it. */
    private static final long EXAMINATION_INTERVAL_MS = 25;

    /** Variation of the interval, so that gateways do not act on the same report in the same millisecond. */
    private static final long EXAMINATION_JITTER_MS = 5;

    private final GatewaySettings settings;

    private final Forwarder forwarder;

    private final WaitingWork waitingWork;

    private final GatewayMetrics metrics;

    /** The queues of the services whose requests have waited. */
    private final Map<ServiceName, ServiceQueue> queues = new HashMap<>();

    /** The waiting requests. */
    private final Map<ForwardedRequest, Entry> entries = new HashMap<>();

    private long lastNumber;

    private boolean timerRuns;

    private boolean examinesSoon;

    /** A waiting request and the queue that it waits in. */
    private record Entry(ForwardedRequest forwarded, Admitted admitted, QueuedGeneration queued, ServiceQueue queue) {}

    /** The waiting requests of a service. */
    private static final class ServiceQueue {

        private final GenerationQueue generations;

        private final Map<Long, Entry> byNumber = new HashMap<>();

        /** The service as of the latest request. */
        private FleetService service;

        private ServiceQueue(int maximum, FleetService service) {
            this.generations = new GenerationQueue(maximum);
            this.service = service;
        }
    }

    /**
     * Creates a queue without requests.
     *
     * @param settings settings of this gateway
     * @param forwarder the state that all requests share
     * @param waitingWork what waits at all gateways
     * @param metrics counters and histograms of this gateway
     */
    WaitingRequests(GatewaySettings settings, Forwarder forwarder, WaitingWork waitingWork, GatewayMetrics metrics) {
        this.settings = settings;
        this.forwarder = forwarder;
        this.waitingWork = waitingWork;
        this.metrics = metrics;
    }

    /**
     * Sends, queues or refuses a request that was admitted.
     *
     * @param forwarded the request, whose deadline timer runs
     * @param admitted route, service and deadline of the request
     */
    void begin(ForwardedRequest forwarded, Admitted admitted) {
        Optional<EngineCostModel> engine = admitted.service().engineCostModel();
        boolean applies = settings.maximumWaitingRequests() > 0
                && engine.isPresent()
                && forwarded.demand().isGeneration();
        long now = GatewayClock.now();
        List<Candidate> candidates = applies ? forwarder.dispatcher().candidates(admitted.service(), now) : List.of();
        if (candidates.isEmpty()) {
            forwarded.sendTo(Optional.empty());
            return;
        }
        DispatchPolicy policy = policy(admitted.service(), engine.get(), candidates, now);
        QueuedGeneration queued = queued(forwarded, admitted);
        ServiceQueue queue = queues.get(admitted.service().name());
        boolean nothingWaits = queue == null || queue.generations.isEmpty();
        if (nothingWaits || queued.isStrict(engine.get()) && !queue.generations.hasStrict(policy)) {
            WorkAhead ahead = nothingWaits ? WorkAhead.NONE : queue.generations.work(policy);
            DispatchDecision decision = policy.decide(queued, ahead, now);
            if (decision instanceof Wait wait) {
                add(forwarded, admitted, queued, policy, now);
                logWaiting(forwarded, admitted, wait);
            } else {
                apply(forwarded, queued, decision, now);
            }
            return;
        }
        add(forwarded, admitted, queued, policy, now);
        examine(queue, now);
    }

    private DispatchPolicy policy(FleetService service, EngineCostModel engine, List<Candidate> candidates, long now) {
        return new DispatchPolicy(engine, candidates, waitingWork.elsewhere(service.name(), !entries.isEmpty(), now));
    }

    private QueuedGeneration queued(ForwardedRequest forwarded, Admitted admitted) {
        lastNumber++;
        int priority = admitted.account()
                .map(FleetAccount::priority)
                .filter(each -> each >= 0)
                .orElse(admitted.route().priority());
        long hash = Hashing.wyhashFinal4().hashCharsToLong(requestId(forwarded));
        return new QueuedGeneration(
                lastNumber,
                admitted.account().map(FleetAccount::name),
                priority,
                forwarded.demand(),
                forwarded.request().arrivedAt(),
                admitted.deadline(),
                (hash >>> 1) / (double) Long.MAX_VALUE);
    }

    private String requestId(ForwardedRequest forwarded) {
        return forwarded.request().headers().get(forwarder.dialect().requestId());
    }

    private void add(
            ForwardedRequest forwarded, Admitted admitted, QueuedGeneration queued, DispatchPolicy policy, long now) {
        ServiceQueue queue = queues.computeIfAbsent(admitted.service().name(), name -> {
            ServiceQueue added = new ServiceQueue(settings.maximumWaitingRequests(), admitted.service());
            metrics.registerWaiting(name, added.generations::size);
            return added;
        });
        queue.service = admitted.service();
        Entry entry = new Entry(forwarded, admitted, queued, queue);
        entries.put(forwarded, entry);
        queue.byNumber.put(queued.number(), entry);
        queue.generations.add(queued, policy, now).ifPresent(refused -> applyOutcome(queue, refused, now));
        report(queue, policy, now);
        startTimer();
    }

    private void report(ServiceQueue queue, DispatchPolicy policy, long now) {
        waitingWork.setOwn(queue.service.name(), queue.generations.report(policy, now));
    }

    private void applyOutcome(ServiceQueue queue, GenerationQueue.Outcome outcome, long now) {
        Entry entry = queue.byNumber.remove(outcome.request().number());
        entries.remove(entry.forwarded());
        metrics.recordWait(entry.forwarded().demand(), now - outcome.request().arrivedAt());
        apply(entry.forwarded(), outcome.request(), outcome.decision(), now);
    }

    private void apply(ForwardedRequest forwarded, QueuedGeneration queued, DispatchDecision decision, long now) {
        if (decision instanceof Dispatch dispatch) {
            queued.account()
                    .ifPresent(account ->
                            waitingWork.recordServed(account, forwarded.demand().memoryTokens(), now));
            forwarded.sendTo(Optional.of(dispatch.placement()));
        } else if (decision instanceof Refuse refuse) {
            metrics.recordOverload(refuse.reason().label());
            String reason = refuse.reason().label() + ", first event in " + Math.round(refuse.firstEventMillis())
                    + " ms, work ahead " + Math.round(refuse.workAheadMillis()) + " ms";
            Refusal refusal = Refusal.notRun(
                            ErrorCode.OVERLOADED, "The request cannot be served in time at the current load.")
                    .withRetryAfter(Duration.ofMillis(refuse.retryMillis()));
            forwarded.giveUp(now, reason, refusal);
        }
    }

    private void logWaiting(ForwardedRequest forwarded, Admitted admitted, Wait wait) {
        forwarder
                .decisionLog()
                .line(Category.ROUTINE, "waiting")
                .with("request", requestId(forwarded))
                .with("service", admitted.service().name())
                .with("promptTokens", forwarded.demand().promptTokens())
                .with("reason", wait.reason().label())
                .with("predictedMs", Math.round(wait.firstEventMillis()))
                .with("workAheadMs", Math.round(wait.workAheadMillis()))
                .write();
    }

    /**
     * Removes a request that has ended while it waited, and examines the others, as an engine may be free now.
     *
     * @param forwarded the request
     */
    void onEnd(ForwardedRequest forwarded) {
        if (entries.isEmpty()) {
            return;
        }
        Entry entry = entries.remove(forwarded);
        if (entry != null) {
            entry.queue().generations.remove(entry.queued());
            entry.queue().byNumber.remove(entry.queued().number());
            metrics.recordWait(
                    forwarded.demand(), GatewayClock.now() - entry.queued().arrivedAt());
            if (entry.queue().generations.isEmpty()) {
                waitingWork.setOwn(entry.queue().service.name(), List.of());
            }
        }
        examineSoon();
    }

    /** Examines the waiting requests once the event loop has processed the input that has arrived. */
    void examineSoon() {
        if (!entries.isEmpty() && !examinesSoon) {
            examinesSoon = true;
            forwarder.loop().execute(() -> {
                examinesSoon = false;
                examineAll();
            });
        }
    }

    private void startTimer() {
        if (!timerRuns && !entries.isEmpty()) {
            timerRuns = true;
            long jitter = ThreadLocalRandom.current().nextLong(-EXAMINATION_JITTER_MS, EXAMINATION_JITTER_MS + 1);
            forwarder.loop().schedule(this::onTimer, EXAMINATION_INTERVAL_MS + jitter, TimeUnit.MILLISECONDS);
        }
    }

    private void onTimer() {
        timerRuns = false;
        examineAll();
        startTimer();
    }

    /** Ends the requests that need no target any more, then sends those that engines can begin. */
    private void examineAll() {
        long now = GatewayClock.now();
        for (Entry entry : List.copyOf(entries.values())) {
            if (!entry.forwarded().responder().isConnected()) {
                entry.forwarded().onDisconnect();
            } else if (now >= entry.admitted().deadline()) {
                entry.forwarded().onDeadline();
            } else if (forwarder.isStopping(now)) {
                entry.forwarded().giveUp(now, "the gateway stops", Forwarder.stoppingRefusal());
            }
        }
        new ArrayList<>(queues.values()).forEach(queue -> examine(queue, now));
    }

    private void examine(ServiceQueue queue, long now) {
        boolean more = !queue.generations.isEmpty();
        while (more) {
            List<Candidate> candidates = forwarder.dispatcher().candidates(queue.service, now);
            if (candidates.isEmpty()) {
                sendAll(queue);
                return;
            }
            EngineCostModel engine = queue.service.engineCostModel().orElseThrow();
            DispatchPolicy policy = policy(queue.service, engine, candidates, now);
            Optional<GenerationQueue.Outcome> outcome = queue.generations.next(policy, now);
            outcome.ifPresent(each -> applyOutcome(queue, each, now));
            report(queue, policy, now);
            more = outcome.isPresent() && !queue.generations.isEmpty();
        }
    }

    /**
     * Ends the wait of all requests of a service without engines, so that their callers learn of it at once.
     *
     * @param queue the requests of the service
     */
    private void sendAll(ServiceQueue queue) {
        for (Entry entry : List.copyOf(queue.byNumber.values())) {
            queue.generations.remove(entry.queued());
            queue.byNumber.remove(entry.queued().number());
            entries.remove(entry.forwarded());
            entry.forwarded().sendTo(Optional.empty());
        }
        waitingWork.setOwn(queue.service.name(), List.of());
    }
}
