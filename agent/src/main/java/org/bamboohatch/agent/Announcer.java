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
import org.bamboohatch.agent.capacity.CapacityBook;
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

/** Keeps the target announced, watches its health and carries out placement orders. */
@Singleton
public final class Announcer implements Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(Announcer.class);

    /** Time for one announcement. */
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(3);

    /** Time between two looks at the target. */
    private static final Duration WATCH_INTERVAL = Duration.ofMillis(250);

    /** Looks without an answer after which the target counts as dead. */
    private static final int MAX_SILENT_LOOKS = 3;

    /** Time for which a planned stop waits for runs, in milliseconds. */
    private static final long DRAIN_LIMIT_MS = 600_000;

    /** Pause between two looks at a draining agent, in milliseconds. */
    private static final long DRAIN_PAUSE_MS = 20;

    /** The settings. */
    private final AgentSettings settings;

    /** The control processes. */
    private final ControlCalls control;

    /** The target. */
    private final TargetDriver.Target target;

    /** Runs the attempts. */
    private final AttemptRunner runner;

    /** Takes the requests of the entries. */
    private final AgentServer server;

    /** The network threads. */
    private final Network network;

    /** Number of this start. */
    private final long incarnation = System.currentTimeMillis();

    /** The loaded models. */
    private final AtomicReference<List<LoadedModel>> models = new AtomicReference<>(List.of());

    /** The largest fencing number seen. */
    private final AtomicLong fence = new AtomicLong();

    /** Whether an order is being carried out. */
    private final AtomicBoolean ordering = new AtomicBoolean();

    /** Looks at the target without an answer. */
    private final AtomicLong silentLooks = new AtomicLong();

    /** Whether the announcements go on. */
    private volatile boolean running = true;

    /**
     * Creates an announcer.
     *
     * @param settings the settings
     * @param control the control processes
     * @param target the target
     * @param runner runs the attempts
     * @param server takes the requests of the entries
     * @param network the network threads
     */
    @Inject
    public Announcer(
            AgentSettings settings,
            ControlCalls control,
            TargetDriver.Target target,
            AttemptRunner runner,
            AgentServer server,
            Network network) {
        this.settings = settings;
        this.control = control;
        this.target = target;
        this.runner = runner;
        this.server = server;
        this.network = network;
    }

    @Override
    public void start() {
        network.every(WATCH_INTERVAL, this::watch);
        target.state().whenComplete((state, problem) -> {
            if (problem == null) {
                observe(state);
            }
            announceForever();
        });
    }

    @Override
    public void stop() {
        running = false;
        runner.update(CapacityBook::drain);
        announceOnce()
                .orTimeout(1, TimeUnit.SECONDS)
                .exceptionally(late -> null)
                .join();
        long limit = AttemptRunner.now() + DRAIN_LIMIT_MS;
        while (!runner.isIdle() && AttemptRunner.now() < limit) {
            try {
                Thread.sleep(DRAIN_PAUSE_MS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        LOGGER.info("agent: drained, idle {}", runner.isIdle());
    }

    /** Announces the target again and again; each reply is held back until there is news or a second has passed. */
    private void announceForever() {
        if (running) {
            announceOnce().whenComplete((done, problem) -> network.after(Duration.ZERO, this::announceForever));
        }
    }

    /**
     * Announces the target once.
     *
     * @return completes with the reply
     */
    private CompletableFuture<Void> announceOnce() {
        return control.call(new Announce(announcement(), server.applied().revision()), ANNOUNCE_TIMEOUT)
                .thenAccept(this::take);
    }

    /**
     * Describes the target.
     *
     * @return the announcement
     */
    private TargetAnnouncement announcement() {
        CapacityBook book = runner.book();
        return new TargetAnnouncement(
                settings.target(),
                settings.service(),
                settings.host(),
                settings.zone(),
                settings.advertise().isEmpty() ? settings.listen() : settings.advertise(),
                incarnation,
                models.get(),
                settings.memoryTokens(),
                settings.maximumRuns(),
                book.draining() || !book.healthy());
    }

    /**
     * Takes the reply of the leader.
     *
     * @param reply the reply
     */
    private void take(ControlReply reply) {
        if (!(reply instanceof Announced announced)) {
            return;
        }
        long documentRevision =
                announced.document() == null ? 0 : announced.document().revision();
        server.apply(new AppliedConfiguration(announced.revision(), documentRevision));
        fence.accumulateAndGet(announced.fence(), Math::max);
        if (!announced.orders().isEmpty() && ordering.compareAndSet(false, true)) {
            carryOut(announced, 0);
        }
    }

    /**
     * Carries out orders one after the other; an order with an old fencing number is dropped.
     *
     * @param announced the orders
     * @param position the next order
     */
    private void carryOut(Announced announced, int position) {
        if (position >= announced.orders().size() || announced.fence() < fence.get()) {
            ordering.set(false);
            return;
        }
        var order = announced.orders().get(position);
        LOGGER.info("agent: {} {} under fence {}", order.action(), order.model(), announced.fence());
        target.order(order, announced.fence()).whenComplete((done, problem) -> {
            if (problem != null) {
                LOGGER.warn("agent: order failed: {}", problem.getMessage());
            }
            carryOut(announced, position + 1);
        });
    }

    /** Looks at the target. */
    private void watch() {
        target.state().whenComplete((state, problem) -> {
            if (problem == null) {
                silentLooks.set(0);
                observe(state);
            } else if (silentLooks.incrementAndGet() == MAX_SILENT_LOOKS) {
                LOGGER.warn("agent: target {} does not answer", settings.target());
                runner.update(book -> book.observe(false, book.millisPerPromptToken()));
                announceOnce();
            }
        });
    }

    /**
     * Takes the state of the target.
     *
     * @param state the state
     */
    private void observe(TargetState state) {
        boolean recovered = !runner.book().healthy();
        runner.update(book -> book.observe(true, state.millisPerPromptToken()));
        runner.reconcile(state);
        List<LoadedModel> before = models.getAndSet(state.models());
        if (running && (recovered || !before.equals(state.models()))) {
            announceOnce();
        }
    }
}
