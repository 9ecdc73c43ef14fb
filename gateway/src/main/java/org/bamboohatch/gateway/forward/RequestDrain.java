package org.bamboohatch.gateway.forward;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.http.CallerServer;

/**
 * Ends the work of a gateway that stops. Lets load balancers remove it and requests in progress end, and answers those that
 * are still in progress when the time is over. The process may end when the drain has ended.
 */
public final class RequestDrain {

    private static final Logger LOGGER = LogManager.getLogger(RequestDrain.class);

    /** Interval at which open connections are checked, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 100;

    /** Idle time after which a connection of a caller is closed, in milliseconds. */
    private static final long IDLE_TIMEOUT_MS = 300;

    private final EventLoop loop;

    private final Forwarder forwarder;

    private final CallerServer callers;

    private final DrainSchedule schedule;

    /** Whether the next check closes the port; confined to the event loop. */
    private boolean closesPort;

    /**
     * Creates a drain that has not begun.
     *
     * @param loop the event loop that serves all callers
     * @param forwarder handles the requests of callers
     * @param callers accepts the connections of callers
     * @param schedule ends of the phases
     */
    public RequestDrain(EventLoop loop, Forwarder forwarder, CallerServer callers, DrainSchedule schedule) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.callers = callers;
        this.schedule = schedule;
    }

    /** Drains the gateway; returns when no connection is open or the time is over. */
    public void run() {
        long startedAt = GatewayClock.now();
        loop.execute(callers::beginStop);
        loop.execute(() -> forwarder.beginDrain(schedule, startedAt));
        long elapsed = 0;
        boolean finished = false;
        while (!finished && elapsed < schedule.endMillis()) {
            awaitNextCheck();
            elapsed = GatewayClock.now() - startedAt;
            finished = finishes(elapsed);
        }
        LOGGER.info("gateway: stopping after {} ms, {}", elapsed, finished ? "drained" : "with open connections");
    }

    private boolean finishes(long elapsed) {
        return loop.submit(() -> check(elapsed)).syncUninterruptibly().getNow();
    }

    /**
     * Ends the phases that are over and closes idle connections; runs on the event loop.
     *
     * @param elapsed time since the signal to stop, in milliseconds
     * @return whether no connection is open and none will be accepted
     */
    private boolean check(long elapsed) {
        // Between two checks, connections that wait to be accepted are accepted; closing the port would reset them.
        if (closesPort) {
            callers.stopAccepting();
        }
        boolean admissionOver = elapsed >= schedule.admissionMillis();
        boolean answersOver = elapsed >= schedule.answerMillis();
        if (answersOver) {
            forwarder.endRequests();
            callers.refuseIncomplete(Forwarder.stoppingRefusal());
        }
        int open = callers.closeIdle(elapsed < schedule.removalMillis() ? Long.MAX_VALUE : IDLE_TIMEOUT_MS);
        // A caller learns more from a refusal than from a closed port, so the server accepts for as long as there is
        // work.
        closesPort = answersOver || admissionOver && open == 0;
        return open == 0 && !callers.isAccepting();
    }

    private static void awaitNextCheck() {
        try {
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
