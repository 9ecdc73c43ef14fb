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

/** Admits requests, keeps them in queues and dispatches them; one thread owns the queues. */
@Singleton
public final class Dispatcher implements Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(Dispatcher.class);

    /** Time between two looks at deadlines and queues, in milliseconds. */
    private static final long TICK_MS = 10;

    /** Time between two looks for requests that cannot finish in time, in milliseconds. */
    private static final long HOPELESS_LOOK_MS = 50;

    /** Time after its deadline by which a request must have ended, in milliseconds. */
    private static final long DEADLINE_GRACE_MS = 1_000;

    /** Pause of the thread after which lateness is the machine's and not the program's, in milliseconds. */
    private static final long STALL_MS = 200;

    /** Time before its deadline at which the end of a non-idempotent run is settled, in milliseconds. */
    private static final long SETTLE_MS = 500;

    /** Attempts of one request at most. */
    private static final int MAX_ATTEMPTS = 64;

    /** The settings. */
    private final EntrySettings settings;

    /** The configuration. */
    private final ConfigurationStore configuration;

    /** Records what happens. */
    private final RequestEvents events;

    /** Settles non-idempotent runs. */
    private final RunSettlement settlement;

    /** The targets' links. */
    private final TargetDirectory directory;

    /** Admits requests. */
    private final RequestAdmitter admitter;

    /** Places waiting requests. */
    private final RequestPlacer placer;

    /** Draws pauses. */
    private final RandomGenerator random;

    /** Tasks for the thread. */
    private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();

    /** The pools by service. */
    private final Map<ServiceName, ServicePool> pools = new HashMap<>();

    /** Open requests by the time at which something must be done. */
    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>(Comparator.comparingLong(Alarm::time));

    /** Requests that have no end yet. */
    private final AtomicInteger open = new AtomicInteger();

    /** The thread. */
    private final Thread thread = new Thread(Invariant.guard(this::run), "dispatcher");

    /** Whether the thread goes on. */
    private volatile boolean running = true;

    /** Time of the next look for requests that cannot finish in time. */
    private long nextHopelessLook;

    /** Time of the last look at deadlines. */
    private long lastTick;

    /**
     * A time at which a request must be looked at.
     *
     * @param time the time in milliseconds
     * @param request the request
     */
    private record Alarm(long time, CallerRequest request) {}

    /**
     * Creates a dispatcher.
     *
     * @param settings the settings
     * @param configuration the configuration
     * @param events records what happens
     * @param settlement settles non-idempotent runs
     * @param directory the targets' links
     * @param admitter admits requests
     * @param placer places waiting requests
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
        inbox.add(() -> {});
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Counts the requests that have no end yet.
     *
     * @return the number of admitted requests
     */
    public int open() {
        return open.get();
    }

    /**
     * Runs a task on the dispatcher's thread.
     *
     * @param task the task
     */
    void post(Runnable task) {
        inbox.add(task);
    }

    /**
     * Takes an arriving request.
     *
     * @param request the request
     */
    public void submit(CallerRequest request) {
        open.incrementAndGet();
        post(() -> admit(request));
    }

    /**
     * Takes note that a caller has gone away; a non-idempotent run goes on.
     *
     * @param request the request
     */
    public void callerGone(CallerRequest request) {
        post(() -> {
            if (request.description().claim().isEmpty() && request.abandon()) {
                directory.cancel(request);
                finished(request, "caller-gone");
            }
        });
    }

    /** Works until the dispatcher is stopped. */
    private void run() {
        List<Runnable> batch = new ArrayList<>();
        lastTick = ConfigurationStore.now();
        while (running) {
            try {
                Runnable first = inbox.poll(TICK_MS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    inbox.drainTo(batch);
                }
                batch.forEach(Runnable::run);
                batch.clear();
                long now = ConfigurationStore.now();
                if (now - lastTick >= TICK_MS) {
                    tick(now);
                }
                pools.values().forEach(pool -> placer.pump(pool, this, now));
            } catch (InterruptedException interrupted) {
                running = false;
            }
        }
    }

    /**
     * Admits a request to its queue or refuses it at once.
     *
     * @param request the request
     */
    private void admit(CallerRequest request) {
        long now = ConfigurationStore.now();
        ServicePool pool = pools.computeIfAbsent(request.description().service(), added -> new ServicePool());
        if (!admitter.admits(request, pool, this, now)) {
            return;
        }
        events.record(request, "admitted", request.waiting().lengthClass().label());
        pool.waiting().put(request.id(), request);
        long settle = Math.min(SETTLE_MS, (request.deadline() - now) / 4);
        boolean claimed = request.description().claim().isPresent();
        alarms.add(new Alarm(request.deadline() - (claimed ? settle : 0), request));
    }

    /**
     * Ends what is due and refuses what is hopeless.
     *
     * @param now the present time, in milliseconds
     */
    private void tick(long now) {
        boolean stalled = now - lastTick > STALL_MS;
        lastTick = now;
        while (!alarms.isEmpty() && alarms.peek().time() <= now) {
            ring(alarms.poll().request(), now, stalled);
        }
        directory.keepConnected(pools, this);
        if (now >= nextHopelessLook) {
            nextHopelessLook = now + HOPELESS_LOOK_MS;
            pools.values().forEach(pool -> admitter.refuseHopeless(pool, this, now));
        }
    }

    /**
     * Looks at a request whose time has come.
     *
     * @param request the request
     * @param now the present time, in milliseconds
     * @param stalled whether the machine has just stood still
     */
    private void ring(CallerRequest request, long now, boolean stalled) {
        if (request.isEnded()) {
            return;
        }
        Invariant.check(
                stalled || now <= request.deadline() + DEADLINE_GRACE_MS,
                () -> "request " + request.id() + " is open past its deadline");
        ServicePool pool = pools.get(request.description().service());
        boolean waits = pool.waiting().remove(request.id()) != null;
        if (request.description().claim().isPresent() && !waits && now < request.deadline()) {
            alarms.add(new Alarm(request.deadline(), request));
            settle(request, pool, now);
            return;
        }
        RunOutcome outcome = RunOutcome.FAILED;
        if (request.description().claim().isPresent()) {
            outcome = waits ? RunOutcome.NOT_RUN : RunOutcome.UNKNOWN;
        } else if (waits && request.attempts() == 0) {
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
     * Tries a request again, if its time, its attempts and the budget allow.
     *
     * @param pool the pool
     * @param request the request, whose last attempt certainly cannot be completed
     * @param reason why it is tried again
     * @param failure the error if it is not tried again
     */
    void retry(ServicePool pool, CallerRequest request, RetryReason reason, Refusal failure) {
        if (request.isEnded()) {
            return;
        }
        request.dropAttempt();
        long now = ConfigurationStore.now();
        pool.budget(pool.budget().refill(now));
        boolean keyLacks = reason.needsKey()
                && request.description().claim().isPresent()
                && !request.description().keyGiven();
        boolean allowed = request.attempts() < MAX_ATTEMPTS
                && now < request.deadline()
                && !keyLacks
                && (!reason.spendsBudget() || pool.budget().allowsRetry());
        if (!allowed) {
            refuse(request, failure);
            return;
        }
        if (reason.spendsBudget()) {
            pool.budget(pool.budget().spend());
        }
        request.waitUntil(now + Backoff.delayMillis(Math.min(request.attempts(), MAX_ATTEMPTS), random));
        events.record(request, "retry", failure.sentence());
        pool.served().revertServed(request.waiting());
        pool.waiting().put(request.id(), request);
    }

    /**
     * Settles a non-idempotent run whose end is not known.
     *
     * @param request the request
     * @param pool the pool
     * @param now the present time, in milliseconds
     */
    void settle(CallerRequest request, ServicePool pool, long now) {
        Optional<AttemptId> attempt = request.current();
        if (request.isEnded() || attempt.isEmpty()) {
            return;
        }
        events.record(request, "settling", attempt.get().value());
        CompletableFuture<RunSettlement.Settlement> settled = settlement.settle(
                request, attempt.get(), configuration.snapshot().ledgerTime(), request.deadline() - now);
        settled.thenAccept(end -> post(() -> takeSettlement(request, pool, end)));
    }

    /**
     * Waits for the end of a run that another attempt with the same key has begun.
     *
     * @param request the request
     * @param pool the pool
     */
    void awaitOther(CallerRequest request, ServicePool pool) {
        long left = request.deadline() - ConfigurationStore.now();
        settlement
                .awaitEnd(request.description().claim().orElseThrow(), left)
                .thenAccept(end -> post(() -> takeSettlement(request, pool, end)));
    }

    /**
     * Takes what the ledger says of a run.
     *
     * @param request the request
     * @param pool the pool
     * @param end what the ledger says
     */
    private void takeSettlement(CallerRequest request, ServicePool pool, RunSettlement.Settlement end) {
        if (end instanceof RunSettlement.Recorded recorded) {
            var answer = recorded.answer();
            if (request.completeRecorded(answer.status(), answer.contentType(), answer.body())) {
                finished(request, "completed");
            }
        } else if (end instanceof RunSettlement.NotRun && ConfigurationStore.now() + SETTLE_MS >= request.deadline()) {
            refuse(request, Refusal.notRun(ErrorCode.DEADLINE_EXCEEDED, "The request did not run within its time."));
        } else if (end instanceof RunSettlement.NotRun) {
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
     * Ends a request with an error.
     *
     * @param request the request
     * @param refusal the error
     */
    void refuse(CallerRequest request, Refusal refusal) {
        if (request.refuse(refusal)) {
            finished(request, refusal.code().word());
        }
    }

    /**
     * Takes note of the end of a request.
     *
     * @param request the request
     * @param outcome how it ended
     */
    void finished(CallerRequest request, String outcome) {
        open.decrementAndGet();
        ServicePool pool = pools.get(request.description().service());
        if (pool != null) {
            pool.waiting().remove(request.id());
        }
        events.ended(request, outcome);
        LOGGER.debug("dispatch: {} ended: {}", request.id(), outcome);
    }

    /**
     * Returns the records of what happens.
     *
     * @return the records
     */
    RequestEvents events() {
        return events;
    }

    /**
     * Returns the targets' links.
     *
     * @return the directory
     */
    TargetDirectory directory() {
        return directory;
    }
}
