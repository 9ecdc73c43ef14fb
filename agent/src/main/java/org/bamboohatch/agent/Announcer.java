package org.bamboohatch.agent;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.agent.capacity.CapacityState;
import org.bamboohatch.agent.driver.TargetDriver;
import org.bamboohatch.agent.driver.TargetState;
import org.bamboohatch.agent.run.AttemptRunner;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Announced;
import org.bamboohatch.protocol.message.ControlRequest.Announce;
import org.bamboohatch.protocol.message.LoadedModel;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Network;

/**
 * Renews the lease of the target with the control processes, checks the health of the target and executes placement
 * orders.
 */
@Singleton
public final class Announcer implements Service {

    private static final Logger LOGGER = LogManager.getLogger(Announcer.class);

    /** Timeout of an announcement, including the time for which control delays its reply. */
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration HEALTH_CHECK_INTERVAL = Duration.ofMillis(250);

    /** Number of consecutive failed health checks after which the target is unhealthy. */
    private static final int MAX_FAILED_CHECKS = 3;

    /** Time for which a stop waits for running attempts, in milliseconds. */
    private static final long DRAIN_TIMEOUT_MS = 600_000;

    /** Interval of the checks whether the agent is idle while it drains, in milliseconds. */
    private static final long DRAIN_POLL_INTERVAL_MS = 20;

    private final AgentSettings settings;

    private final ControlCalls control;

    private final TargetDriver.Target target;

    private final AttemptRunner runner;

    private final AgentRequestHandler requestHandler;

    private final Network network;

    /** Number of the start of this process, which is larger after a restart as long as the clock is not set back. */
    private final long incarnation = System.currentTimeMillis();

    private final AtomicReference<List<LoadedModel>> loadedModels = new AtomicReference<>(List.of());

    /** The largest fencing token received. */
    private final AtomicLong fence = new AtomicLong();

    /** Whether placement orders are being executed. */
    private final AtomicBoolean executingOrders = new AtomicBoolean();

    /** Number of consecutive failed health checks. */
    private final AtomicLong failedChecks = new AtomicLong();

    /** Whether announcements are repeated. */
    private volatile boolean running = true;

    /**
     * Creates an announcer that is inactive until it is started.
     *
     * @param settings settings of the agent, which describe the target
     * @param control client of the control processes
     * @param target the target to announce and check
     * @param runner runner of the attempts, which keeps the capacity of the target
     * @param requestHandler handler of requests, which keeps the applied configuration
     * @param network network that provides the threads of health checks and announcements
     */
    @Inject
    public Announcer(
            AgentSettings settings,
            ControlCalls control,
            TargetDriver.Target target,
            AttemptRunner runner,
            AgentRequestHandler requestHandler,
            Network network) {
        this.settings = settings;
        this.control = control;
        this.target = target;
        this.runner = runner;
        this.requestHandler = requestHandler;
        this.network = network;
    }

    @Override
    public void start() {
        network.every(HEALTH_CHECK_INTERVAL, this::checkTarget);
        target.state().whenComplete((state, failure) -> {
            if (failure == null) {
                handleState(state);
            }
            announceRepeatedly();
        });
    }

    @Override
    public void stop() {
        running = false;
        runner.updateCapacity(CapacityState::withDraining);
        announceOnce()
                .orTimeout(1, TimeUnit.SECONDS)
                .exceptionally(failure -> null)
                .join();
        long deadline = AttemptRunner.now() + DRAIN_TIMEOUT_MS;
        while (!runner.isIdle() && AttemptRunner.now() < deadline) {
            try {
                Thread.sleep(DRAIN_POLL_INTERVAL_MS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        LOGGER.info("agent: drain ended, idle: {}", runner.isIdle());
    }

    /**
     * Announces the target and schedules the next announcement when there is a reply or the announcement has failed. The
     * leader limits the rate: it delays its reply by up to a second unless there are changes.
     */
    private void announceRepeatedly() {
        if (running) {
            announceOnce().whenComplete((done, failure) -> network.after(Duration.ZERO, this::announceRepeatedly));
        }
    }

    /**
     * Sends a single announcement and handles its reply.
     *
     * @return completed when the reply has been handled
     */
    private CompletableFuture<Void> announceOnce() {
        return control.call(
                        new Announce(announcement(), requestHandler.applied().revision()), ANNOUNCE_TIMEOUT)
                .thenAccept(this::handleReply);
    }

    /** Returns the current announcement. A target that is unhealthy or draining is announced as leaving. */
    private TargetAnnouncement announcement() {
        CapacityState capacity = runner.capacity();
        return new TargetAnnouncement(
                settings.target(),
                settings.service(),
                settings.host(),
                settings.zone(),
                settings.advertise().isEmpty() ? settings.listen() : settings.advertise(),
                incarnation,
                loadedModels.get(),
                settings.memoryTokens(),
                settings.maximumRuns(),
                capacity.draining() || !capacity.healthy());
    }

    /**
     * Applies the revisions and the placement orders in a reply of the leader. Orders are ignored while earlier ones are
     * being executed; the leader sends them again.
     *
     * @param reply the reply, which is ignored unless it confirms the announcement
     */
    private void handleReply(ControlReply reply) {
        if (!(reply instanceof Announced announced)) {
            return;
        }
        long documentRevision =
                announced.document() == null ? 0 : announced.document().revision();
        requestHandler.apply(new AppliedConfiguration(announced.revision(), documentRevision));
        fence.accumulateAndGet(announced.fence(), Math::max);
        if (!announced.orders().isEmpty() && executingOrders.compareAndSet(false, true)) {
            executeOrders(announced, 0);
        }
    }

    /**
     * Executes placement orders one after the other. The remaining orders are dropped if a larger fencing token has been
     * received since, because they come from a former leader.
     *
     * @param announced the reply with the orders
     * @param position index of the next order
     */
    private void executeOrders(Announced announced, int position) {
        if (position >= announced.orders().size() || announced.fence() < fence.get()) {
            executingOrders.set(false);
            return;
        }
        var order = announced.orders().get(position);
        LOGGER.info(
                "agent: executing placement order {} {} with fencing token {}",
                order.action(),
                order.model(),
                announced.fence());
        target.executeOrder(order, announced.fence()).whenComplete((done, failure) -> {
            if (failure != null) {
                LOGGER.warn("agent: placement order failed: {}", failure.getMessage());
            }
            executeOrders(announced, position + 1);
        });
    }

    /** Performs a health check of the target. */
    private void checkTarget() {
        target.state().whenComplete((state, failure) -> {
            if (failure == null) {
                failedChecks.set(0);
                handleState(state);
            } else if (failedChecks.incrementAndGet() == MAX_FAILED_CHECKS) {
                LOGGER.warn("agent: target {} does not answer", settings.target());
                runner.updateCapacity(capacity -> capacity.withHealthCheck(false, capacity.millisPerPromptToken()));
                announceOnce();
            }
        });
    }

    /**
     * Handles the result of a successful health check. Announces the target at once if it has recovered or its models have
     * changed.
     *
     * @param state the reported state of the target
     */
    private void handleState(TargetState state) {
        boolean recovered = !runner.capacity().healthy();
        runner.updateCapacity(capacity -> capacity.withHealthCheck(true, state.millisPerPromptToken()));
        runner.reconcile(state);
        List<LoadedModel> previousModels = loadedModels.getAndSet(state.models());
        if (running && (recovered || !previousModels.equals(state.models()))) {
            announceOnce();
        }
    }
}
