package org.bamboohatch.entry.dispatch;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.entry.EntrySettings;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.RunOutcome;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.routing.retry.Backoff;

/**
 * Admits requests, queues them by service and dispatches them to targets until each has ended. The queues and the
 * state of the targets are confined to one thread; other threads post tasks to it.
 */
@Singleton
public final class Dispatcher implements Service {

    private static final Logger LOGGER = LogManager.getLogger(Dispatcher.class);

    /** Time between two checks of the timers. */
    private static final long TICK_MS = 10;

    /** Time between two searches for waiting requests that will miss their deadline. */
    private static final long DEADLINE_MISS_CHECK_INTERVAL_MS = 50;

    /** Time after its deadline within which a request must have ended; an open request after it breaks an invariant. */
    private static final long DEADLINE_GRACE_MS = 1_000;

    /**
     * Time between two ticks from which the thread counts as stalled. Requests that are then found past their deadline
     * are late because of the machine and break no invariant.
     */
    private static final long STALL_THRESHOLD_MS = 200;

    /**
     * Maximum time before its deadline at which the settlement of a non-idempotent run begins; a quarter of the time
     * from admission to the deadline if that is shorter.
     */
    private static final long SETTLEMENT_LEAD_MS = 500;

    private static final int MAX_ATTEMPTS = 64;

    private final EntrySettings settings;

    private final ConfigurationStore configuration;

    private final RequestEvents events;

    private final RunSettlement settlement;

    private final TargetDirectory directory;

    private final RequestAdmitter admitter;

    private final RequestPlacer placer;

    /** Draws the backoff of retries. */
    private final RandomGenerator random;

    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

    private final Map<ServiceName, ServicePool> pools = new HashMap<>();

    private final PriorityQueue<RequestTimer> timers =
            new PriorityQueue<>(Comparator.comparingLong(RequestTimer::dueAt));

    /** Number of submitted requests that have not ended. */
    private final AtomicInteger openRequests = new AtomicInteger();

    private final Thread thread = new Thread(Invariant.guard(this::run), "dispatcher");

    private volatile boolean running = true;

    private long nextDeadlineMissCheck;

    private long lastTick;

    /**
     * A time at which a request must be settled or ended.
     *
     * @param dueAt monotonic time, in milliseconds
     * @param request the request, which may have ended before
     */
    private record RequestTimer(long dueAt, CallerRequest request) {}

    /**
     * Creates a dispatcher whose thread begins to work with {@link #start()}.
     *
     * @param settings the settings of the entry, with the seed of the backoff
     * @param configuration notifies of changes of the membership
     * @param events records the progress of requests
     * @param settlement determines the outcome of non-idempotent runs
     * @param directory maintains the links to the targets
     * @param admitter applies the admission rules
     * @param placer dispatches waiting requests
     */
    @Inject
    public Dispatcher(
            EntrySettings settings,
            ConfigurationStore configuration,
            RequestEvents events,
            RunSettlement settlement,
            TargetDirectory directory,
            RequestAdmitter admitter,
            RequestPlacer placer) {
        this.settings = settings;
        this.configuration = configuration;
        this.events = events;
        this.settlement = settlement;
        this.directory = directory;
        this.admitter = admitter;
        this.placer = placer;
        this.random = settings.seed() == 0 ? new SplittableRandom() : new SplittableRandom(settings.seed());
    }

    @Override
    public void start() {
        thread.start();
        configuration.onChange(snapshot -> post(() -> directory.update(snapshot, pools, this)));
    }

    @Override
    public void stop() {
        running = false;
        tasks.add(() -> {});
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the number of submitted requests that have not ended.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return openRequests.get();
    }

    /**
     * Executes a task on the dispatcher's thread.
     *
     * @param task the task, executed after those posted before it
     */
    void post(Runnable task) {
        tasks.add(task);
    }

    /**
     * Submits a new request for admission. Its response is sent to the sink of the request.
     *
     * @param request the request
     */
    public void submit(CallerRequest request) {
        openRequests.incrementAndGet();
        post(() -> admit(request));
    }

    /**
     * Invoked when a caller has disconnected. Cancels the request, except for a non-idempotent run, which continues.
     *
     * @param request the request of the caller
     */
    public void callerDisconnected(CallerRequest request) {
        post(() -> {
            if (request.description().runKey().isEmpty() && request.endDisconnected()) {
                directory.cancel(request);
                finish(request, "caller-gone");
            }
        });
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        lastTick = ConfigurationStore.now();
        while (running) {
            try {
                Runnable first = tasks.poll(TICK_MS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    tasks.drainTo(batch);
                }
                batch.forEach(Runnable::run);
                batch.clear();
                long now = ConfigurationStore.now();
                if (now - lastTick >= TICK_MS) {
                    tick(now);
                }
                pools.values().forEach(pool -> placer.dispatchWaiting(pool, this, now));
            } catch (InterruptedException interrupted) {
                running = false;
            }
        }
    }

    /**
     * Queues a request if it is admitted. The timer of a non-idempotent request is due before its deadline, so that
     * the outcome of its run can be settled in time.
     *
     * @param request the submitted request
     */
    private void admit(CallerRequest request) {
        long now = ConfigurationStore.now();
        ServicePool pool = pools.computeIfAbsent(request.description().service(), added -> new ServicePool());
        if (!admitter.admitOrRefuse(request, pool, this, now)) {
            return;
        }
        events.record(request, "admitted", request.routingView().lengthClass().label());
        pool.queue().put(request.id(), request);
        long settlementLead = Math.min(SETTLEMENT_LEAD_MS, (request.deadline() - now) / 4);
        boolean nonIdempotent = request.description().runKey().isPresent();
        timers.add(new RequestTimer(request.deadline() - (nonIdempotent ? settlementLead : 0), request));
    }

    private void tick(long now) {
        boolean stalled = now - lastTick > STALL_THRESHOLD_MS;
        lastTick = now;
        while (!timers.isEmpty() && timers.peek().dueAt() <= now) {
            onTimer(timers.poll().request(), now, stalled);
        }
        directory.reopenLinks(pools, this);
        if (now >= nextDeadlineMissCheck) {
            nextDeadlineMissCheck = now + DEADLINE_MISS_CHECK_INTERVAL_MS;
            pools.values().forEach(pool -> admitter.refuseDeadlineMisses(pool, this, now));
        }
    }

    /**
     * Ends a request at its deadline, or begins to settle a dispatched non-idempotent run shortly before.
     *
     * @param request the request whose timer is due
     * @param now current monotonic time, in milliseconds
     * @param stalled whether the thread was stalled before this tick, which excuses late timers
     */
    private void onTimer(CallerRequest request, long now, boolean stalled) {
        if (request.isEnded()) {
            return;
        }
        Invariant.check(
                stalled || now <= request.deadline() + DEADLINE_GRACE_MS,
                () -> "request " + request.id() + " is open past its deadline");
        ServicePool pool = pools.get(request.description().service());
        boolean queued = pool.queue().remove(request.id()) != null;
        if (request.description().runKey().isPresent() && !queued && now < request.deadline()) {
            timers.add(new RequestTimer(request.deadline(), request));
            settle(request, pool, now);
            return;
        }
        RunOutcome outcome = RunOutcome.FAILED;
        if (request.description().runKey().isPresent()) {
            outcome = queued ? RunOutcome.NOT_RUN : RunOutcome.UNKNOWN;
        } else if (queued && request.attemptCount() == 0) {
            outcome = RunOutcome.NOT_RUN;
        }
        directory.cancel(request);
        ErrorCode code = outcome == RunOutcome.UNKNOWN ? ErrorCode.RUN_UNKNOWN : ErrorCode.DEADLINE_EXCEEDED;
        refuse(
                request,
                Refusal.notRun(code, "The request was not finished within its time.")
                        .withOutcome(outcome));
    }

    /**
     * Queues a request for another attempt if its deadline, its number of attempts and the retry budget permit one.
     * Ends the request otherwise.
     *
     * @param pool queue and targets of the requested service
     * @param request the request, whose current attempt can no longer be completed
     * @param reason why the request is retried
     * @param failure the error to report to the caller if no retry is permitted
     */
    void retry(ServicePool pool, CallerRequest request, RetryReason reason, Refusal failure) {
        if (request.isEnded()) {
            return;
        }
        request.dropAttempt();
        long now = ConfigurationStore.now();
        pool.retryBudget(pool.retryBudget().refill(now));
        boolean lacksCallerKey = reason.requiresCallerKey()
                && request.description().runKey().isPresent()
                && !request.description().hasCallerKey();
        boolean permitted = request.attemptCount() < MAX_ATTEMPTS
                && now < request.deadline()
                && !lacksCallerKey
                && (!reason.spendsBudget() || pool.retryBudget().allowsRetry());
        if (!permitted) {
            refuse(request, failure);
            return;
        }
        if (reason.spendsBudget()) {
            pool.retryBudget(pool.retryBudget().spend());
        }
        request.deferUntil(now + Backoff.delayMillis(Math.min(request.attemptCount(), MAX_ATTEMPTS), random));
        events.record(request, "retry", failure.sentence());
        pool.servedTokens().revertServed(request.routingView());
        pool.queue().put(request.id(), request);
    }

    /**
     * Settles the current attempt of a non-idempotent request, whose outcome is unknown.
     *
     * @param request the request
     * @param pool queue and targets of the requested service
     * @param now current monotonic time, in milliseconds
     */
    void settle(CallerRequest request, ServicePool pool, long now) {
        Optional<AttemptId> attempt = request.currentAttempt();
        if (request.isEnded() || attempt.isEmpty()) {
            return;
        }
        events.record(request, "settling", attempt.get().value());
        CompletableFuture<RunSettlement.Settlement> settled = settlement.settle(
                request, attempt.get(), configuration.snapshot().ledgerTime(), request.deadline() - now);
        settled.thenAccept(outcome -> post(() -> applySettlement(request, pool, outcome)));
    }

    /**
     * Waits for the end of a run that another attempt with the same key has begun.
     *
     * @param request the request
     * @param pool queue and targets of the requested service
     */
    void awaitOtherAttempt(CallerRequest request, ServicePool pool) {
        long remainingMillis = request.deadline() - ConfigurationStore.now();
        settlement
                .awaitEnd(request.description().runKey().orElseThrow(), remainingMillis)
                .thenAccept(outcome -> post(() -> applySettlement(request, pool, outcome)));
    }

    private void applySettlement(CallerRequest request, ServicePool pool, RunSettlement.Settlement outcome) {
        if (outcome instanceof RunSettlement.Recorded recorded) {
            if (request.completeRecorded(recorded.answer())) {
                finish(request, "completed");
            }
        } else if (outcome instanceof RunSettlement.NotRun
                && ConfigurationStore.now() + SETTLEMENT_LEAD_MS >= request.deadline()) {
            refuse(request, Refusal.notRun(ErrorCode.DEADLINE_EXCEEDED, "The request did not run within its time."));
        } else if (outcome instanceof RunSettlement.NotRun) {
            retry(
                    pool,
                    request,
                    RetryReason.RULED_OUT,
                    Refusal.notRun(ErrorCode.TARGET_FAILED, "The request did not run because its target failed.")
                            .withRetryAfter(Duration.ofSeconds(1)));
        } else {
            refuse(
                    request,
                    Refusal.notRun(ErrorCode.RUN_UNKNOWN, "The request may have run; ask again with its key.")
                            .withOutcome(RunOutcome.UNKNOWN));
        }
    }

    /**
     * Ends a request with an error, unless it has ended before.
     *
     * @param request the request
     * @param refusal the error to report to the caller
     */
    void refuse(CallerRequest request, Refusal refusal) {
        if (request.refuse(refusal)) {
            finish(request, refusal.code().wireName());
        }
    }

    /**
     * Removes an ended request from its queue and records its end. Must be invoked once per request.
     *
     * @param request the ended request
     * @param outcome how the request ended, as in the timeline and the metrics
     */
    void finish(CallerRequest request, String outcome) {
        openRequests.decrementAndGet();
        ServicePool pool = pools.get(request.description().service());
        if (pool != null) {
            pool.queue().remove(request.id());
        }
        events.recordEnd(request, outcome);
        LOGGER.debug("dispatch: {} ended: {}", request.id(), outcome);
    }

    RequestEvents events() {
        return events;
    }

    TargetDirectory directory() {
        return directory;
    }
}
