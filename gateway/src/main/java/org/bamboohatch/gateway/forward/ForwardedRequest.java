package org.bamboohatch.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.gateway.http.CallerRequestHandler;
import org.bamboohatch.gateway.http.InboundRequest;
import org.bamboohatch.gateway.http.Responder;
import org.bamboohatch.gateway.target.BodyFraming;
import org.bamboohatch.gateway.target.HttpTargetConnection;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.quarantine.RequestQuarantine;

/** An admitted request, from its admission to the end of the response. */
final class ForwardedRequest implements CallerRequestHandler.Listener {

    private final Forwarder forwarder;

    private final InboundRequest request;

    private final Responder responder;

    private final Admitted admitted;

    private final Demand demand;

    private final RequestMonitor monitor;

    private final RequestLog log;

    private final EventFramer framer = new EventFramer();

    private final AttemptHistory history = new AttemptHistory();

    /** The latest attempt, or null before the first. */
    private ForwardingAttempt current;

    /** Time from the arrival of the request to the head of the response, in milliseconds; zero until it is sent. */
    private long timeToFirstByteMillis;

    /** Whether the head of the response was sent to the caller. */
    private boolean responding;

    /** Whether the response is complete or was given up. */
    private boolean ended;

    private Future<?> deadlineTimer;

    /**
     * Creates a request that is not sent yet.
     *
     * @param forwarder the state that all requests share
     * @param request the request of the caller
     * @param responder receives the response
     * @param admitted route, service and deadline of the request
     * @param demand what the request needs from a target
     */
    ForwardedRequest(
            Forwarder forwarder, InboundRequest request, Responder responder, Admitted admitted, Demand demand) {
        this.forwarder = forwarder;
        this.request = request;
        this.responder = responder;
        this.admitted = admitted;
        this.demand = demand;
        RequestTraits traits =
                RequestTraits.of(request, admitted.account(), dialect().promptParts());
        this.monitor = new RequestMonitor(forwarder.quarantine(), forwarder.targets(), traits.all());
        String requestId = request.headers().get(dialect().requestId());
        this.log = new RequestLog(forwarder.decisionLog(), requestId, admitted, demand, traits);
    }

    /** Starts the deadline timer. */
    void begin() {
        long now = GatewayClock.now();
        deadlineTimer =
                loop().schedule(this::onDeadline, Math.max(0, admitted.deadline() - now), TimeUnit.MILLISECONDS);
    }

    InboundRequest request() {
        return request;
    }

    Demand demand() {
        return demand;
    }

    Responder responder() {
        return responder;
    }

    EventFramer framer() {
        return framer;
    }

    RequestMonitor monitor() {
        return monitor;
    }

    Dialect dialect() {
        return forwarder.dialect();
    }

    EventLoop loop() {
        return forwarder.loop();
    }

    /**
     * Begins an attempt.
     *
     * @param placement the targets, empty to place the request at the currently best ones
     */
    void sendTo(Optional<Placement> placement) {
        long now = GatewayClock.now();
        Optional<RequestQuarantine.Entry> quarantined = monitor.admit(now);
        if (quarantined.isPresent()) {
            giveUp(now, RequestMonitor.reason(quarantined.get()), RequestMonitor.refusal(quarantined.get(), now));
            return;
        }
        Optional<AttemptResources> chosen =
                forwarder.dispatcher().place(admitted, demand, placement, history.excluded(), now);
        if (chosen.isEmpty()) {
            giveUp(now, "no target left");
            return;
        }
        ForwardingAttempt attempt = new ForwardingAttempt(this, chosen.get(), forwarder.openResponseBuffer(), now);
        current = attempt;
        log.placed(attempt, history.sends() + 1, admitted.deadline() - now);
        attempt.resources().memory().acquire(engineWithoutMemory -> onMemoryReserved(attempt, engineWithoutMemory));
    }

    /**
     * Opens a connection for an attempt once its memory is reserved, or places the request elsewhere.
     *
     * @param attempt the attempt
     * @param engineWithoutMemory an engine that did not reserve its part of the memory, empty if all did
     */
    private void onMemoryReserved(ForwardingAttempt attempt, Optional<TargetName> engineWithoutMemory) {
        if (attempt.isEnded()) {
            return;
        }
        long now = GatewayClock.now();
        if (engineWithoutMemory.isPresent()) {
            attempt.cancel();
            if (history.recordMemoryFailure(engineWithoutMemory.get())) {
                sendTo(Optional.empty());
            } else {
                giveUp(now, "no memory at " + engineWithoutMemory.get());
            }
            return;
        }
        connect(attempt, now);
    }

    private void connect(ForwardingAttempt attempt, long now) {
        long remainingMillis = Math.max(1, admitted.deadline() - now);
        int connectTimeoutMillis = (int) Math.min(forwarder.dispatcher().connectTimeoutMillis(demand), remainingMillis);
        forwarder
                .pool()
                .acquire(
                        attempt.target(),
                        !admitted.route().mayRepeat(),
                        true,
                        connectTimeoutMillis,
                        now,
                        connection -> onConnected(attempt, connection));
    }

    /**
     * Sends the request on the connection of an attempt.
     *
     * @param attempt the attempt; may have been cancelled meanwhile
     * @param connection the connection, or null if none could be opened
     */
    private void onConnected(ForwardingAttempt attempt, HttpTargetConnection connection) {
        if (attempt.isEnded()) {
            if (connection != null) {
                forwarder.pool().returnUnused(connection, GatewayClock.now());
            }
            return;
        }
        if (connection == null) {
            history.exclude(attempt.target().target());
            attempt.cancel();
            forwarder.targets().recordFailure(attempt.target(), GatewayClock.now());
            log.unreachable(attempt);
            sendTo(Optional.empty());
            return;
        }
        // Tasks run after the input that has arrived, such as the end of the caller's connection, is processed.
        loop().execute(() -> send(attempt, connection));
    }

    /**
     * Sends the request, unless it has become pointless since it was placed. After a stall of the process, the caller may
     * have disconnected, the deadline may have passed, the target may have asked for no more requests, its zone or that of
     * a helper may have been evacuated, or the request may have been found to end targets.
     *
     * @param attempt the attempt; may have been cancelled meanwhile
     * @param connection the open connection to the target
     */
    private void send(ForwardingAttempt attempt, HttpTargetConnection connection) {
        long now = GatewayClock.now();
        boolean accepted = forwarder.dispatcher().maySend(attempt.resources(), now) && monitor.isAdmitted(now);
        if (attempt.isEnded() || !responder.isConnected() || now >= admitted.deadline() || !accepted) {
            forwarder.pool().returnUnused(connection, now);
            withdraw(attempt, now);
            return;
        }
        if (!connection.isOpen() && attempt.beginReconnect()) {
            connect(attempt, now);
            return;
        } else if (!connection.isOpen()) {
            onConnected(attempt, null);
            return;
        }
        history.exclude(attempt.target().target());
        history.recordSend();
        forwarder.targets().recordDispatch(attempt.target(), now);
        HttpHeaders headers = forwarder
                .dispatcher()
                .headers(request, admitted, demand, attempt.resources(), admitted.deadline() - now);
        framer.lastEventId().ifPresent(id -> headers.set(dialect().lastEventId(), id));
        attempt.send(connection, headers);
    }

    /**
     * Ends an attempt that was not sent, and the request with it unless another target may serve it in time.
     *
     * @param attempt the attempt; may have been cancelled already
     * @param now current time, in milliseconds
     */
    private void withdraw(ForwardingAttempt attempt, long now) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.cancel();
        if (!responder.isConnected()) {
            onDisconnect();
        } else if (now >= admitted.deadline()) {
            giveUp(now, "deadline passed");
        } else {
            forwarder.dispatcher().unsuitableTarget(attempt.resources()).ifPresent(history::exclude);
            sendTo(Optional.empty());
        }
    }

    /**
     * Invoked when a target reports that it did not run the request.
     *
     * @param attempt the attempt
     * @param head head of the response; may name another target that has failed
     */
    void onNotExecuted(ForwardingAttempt attempt, HttpResponse head) {
        long now = GatewayClock.now();
        history.recordNotRun();
        String failedAddress = head.headers().get(dialect().failedTarget(), "");
        Optional<TargetName> failedTarget =
                forwarder.targets().recordFailureAt(admitted.service().name(), failedAddress, now);
        failedTarget.ifPresent(history::exclude);
        if (failedTarget.isEmpty() && head.status().code() == TargetStatus.MISDIRECTED) {
            forwarder.targets().recordFailure(attempt.target(), now);
        }
        log.notExecuted(attempt, head.status().code(), failedAddress);
        if (ended) {
            return;
        }
        if (spendRetry(now)) {
            sendTo(Optional.empty());
        } else {
            giveUp(now, "refused by " + attempt.target().target());
        }
    }

    /**
     * Indicates whether a response must not reach the caller: one that does not continue the stream whose events the caller
     * has received, and the failure of a target if the request may be sent again.
     *
     * @param head head of the response
     * @param events whether the response is a stream of events
     * @return whether the response has to be replaced by that of another target
     */
    boolean mustReplace(HttpResponse head, boolean events) {
        if (responding) {
            return !events;
        }
        return head.status().code() >= TargetStatus.SERVER_ERROR
                && admitted.route().mayRepeat()
                && mayRetry(GatewayClock.now());
    }

    /**
     * Invoked when a target sent a response that has to be replaced. Sends the request to another target, or ends it.
     *
     * @param attempt the attempt
     * @param head head of the response
     */
    void onFailedResponse(ForwardingAttempt attempt, HttpResponse head) {
        long now = GatewayClock.now();
        forwarder.targets().recordFailure(attempt.target(), now);
        log.failedResponse(attempt, head.status().code());
        if (spendRetry(now)) {
            sendTo(Optional.empty());
        } else {
            giveUp(
                    now,
                    "status " + head.status().code() + " of " + attempt.target().target());
        }
    }

    /**
     * Invoked when a response was lost before it was complete. Sends the request to another target if it may be repeated
     * and a response that has begun can be resumed.
     *
     * @param attempt the attempt
     * @param reason the reason, also reported to the caller if the request fails without a response
     */
    void onLost(ForwardingAttempt attempt, String reason) {
        long now = GatewayClock.now();
        forwarder.targets().recordFailure(attempt.target(), now);
        log.lost(attempt, reason, framer.eventCount(), now);
        framer.discardPartialEvent();
        if (ended) {
            return;
        }
        boolean resumable = !responding || framer.lastEventId().isPresent();
        if (resumable && admitted.route().mayRepeat() && spendRetry(now)) {
            sendTo(Optional.empty());
        } else {
            giveUp(now, reason);
        }
    }

    /**
     * Invoked when a target has exceeded its idle timeout. Unless the request may be sent again, the gateway continues to
     * wait until the deadline.
     *
     * @param attempt the attempt
     * @param idleMillis time since the target last sent something, in milliseconds
     */
    void onIdle(ForwardingAttempt attempt, long idleMillis) {
        long now = GatewayClock.now();
        if (!admitted.route().mayRepeat() || !mayRetry(now)) {
            return;
        }
        attempt.cancel();
        onLost(attempt, "silent for " + idleMillis + " ms");
    }

    void recordFailure(ForwardingAttempt attempt) {
        forwarder.targets().recordFailure(attempt.target(), GatewayClock.now());
    }

    private boolean spendRetry(long now) {
        return mayRetry(now) && forwarder.spendBudget(admitted, now);
    }

    /**
     * Indicates whether the request may be sent again.
     *
     * @param now current time, in milliseconds
     * @return whether attempts, time, retry budget and a further target are available
     */
    private boolean mayRetry(long now) {
        return history.sends() < admitted.route().maximumAttempts()
                && now < admitted.deadline()
                && forwarder.hasBudget(admitted, now)
                && forwarder.dispatcher().hasTarget(admitted, history.excluded(), now);
    }

    /**
     * Sends the head of the response to the caller. Does nothing if it was sent already, as when a stream is resumed.
     *
     * @param attempt the attempt that answers
     * @param head head of the target's response
     * @param length length of the body in bytes, negative if it is not known
     */
    void beginResponse(ForwardingAttempt attempt, HttpResponse head, long length) {
        if (responding || ended) {
            return;
        }
        responding = true;
        long now = GatewayClock.now();
        timeToFirstByteMillis = now - request.arrivedAt();
        responder.head(head.status(), forwarder.dispatcher().responseHeaders(head.headers()), length);
        forwarder.onResponseBegin(this, attempt, head, now);
        log.firstByte(attempt, request.arrivedAt(), now);
    }

    /**
     * Invoked when the response is complete.
     *
     * @param attempt the attempt that answered
     * @param head head of the target's response
     */
    void onResponseEnd(ForwardingAttempt attempt, HttpResponse head) {
        if (ended) {
            return;
        }
        responder.end();
        if (head.status().code() < TargetStatus.SERVER_ERROR) {
            forwarder.targets().recordSuccess(attempt.target(), GatewayClock.now());
        }
        // Other ends may hide a truncated response, so that their lines are not dropped along with the ordinary ones.
        boolean usual = history.sends() == 1 && BodyFraming.of(head).isExplicit();
        finish("answered", usual ? Category.ROUTINE : Category.FAILURE, attempt.describeResponse());
    }

    private void giveUp(long now, String reason) {
        Refusal refusal = Refusal.notRun(ErrorCode.NO_TARGET, "No target took the request: " + reason + ".");
        giveUp(now, reason, refusal.withRetryAfter(forwarder.returnDelay(request, admitted, now)));
    }

    void giveUp(long now, String reason, Refusal refusal) {
        fail(RequestFailure.of(reason, refusal, now >= admitted.deadline()));
    }

    /**
     * Ends the request without a complete response of a target. A response that has begun is aborted, so that the
     * caller detects that it is incomplete; otherwise the error states whether the request may have run.
     *
     * @param failure the reason, and the responses to the caller
     */
    private void fail(RequestFailure failure) {
        if (ended) {
            return;
        }
        if (responding) {
            responder.abort();
            finish("aborted", Category.FAILURE, failure.reason());
        } else {
            responder.refuse(failure.response(history.mayHaveRun()));
            finish(history.mayHaveRun() ? "failed" : "refused", Category.FAILURE, failure.reason());
        }
    }

    void onDeadline() {
        giveUp(GatewayClock.now(), "deadline passed");
        cancelAttempt();
    }

    void onProcessEnd(Refusal refusalIfNotRun) {
        fail(new RequestFailure("the gateway stops", refusalIfNotRun, ErrorCode.RUN_UNKNOWN));
        cancelAttempt();
    }

    private void cancelAttempt() {
        if (current != null) {
            current.cancel();
        }
    }

    @Override
    public void onDisconnect() {
        if (!ended) {
            finish("caller-gone", Category.ROUTINE, "caller closed its connection");
            cancelAttempt();
        }
    }

    @Override
    public void onWritable() {
        if (current != null) {
            current.resumeReading();
        }
    }

    /**
     * Ends the request and writes its summary to the decision log.
     *
     * @param event the outcome, used as the event name of the line
     * @param category category of the line
     * @param detail status of the response, or the reason why it is missing or incomplete
     */
    private void finish(String event, Category category, String detail) {
        ended = true;
        deadlineTimer.cancel(false);
        log.summary(event, category, detail)
                .with("sends", history.sends())
                .with("continuedFrom", current == null ? 0 : current.eventsBefore())
                .with("events", framer.eventCount())
                .with("firstMs", timeToFirstByteMillis)
                .with("longestPauseMs", framer.longestInterTokenMillis())
                .with("target", current == null ? "" : current.target().target())
                .with("tookMs", GatewayClock.now() - request.arrivedAt())
                .write();
        forwarder.onEnd(this, event);
    }
}
