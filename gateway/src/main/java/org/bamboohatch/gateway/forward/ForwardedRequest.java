package org.bamboohatch.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.gateway.http.Exchanges;
import org.bamboohatch.gateway.http.InboundRequest;
import org.bamboohatch.gateway.http.Responder;
import org.bamboohatch.gateway.target.TargetConnection;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Weight;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.RunOutcome;
import org.bamboohatch.routing.fleet.Demand;

/** One admitted request from its admission to the end of its answer. */
final class ForwardedRequest implements Exchanges.Listener {

    /** Time after which a caller should ask again when no target could be reached. */
    private static final Duration NO_TARGET_RETRY = Duration.ofMillis(300);

    /** What all requests share. */
    private final Forwarder forwarder;

    /** The request. */
    private final InboundRequest request;

    /** Takes the answer. */
    private final Responder responder;

    /** What the admission found. */
    private final Admitted admitted;

    /** What the request asks of a target. */
    private final Demand demand;

    /** Cuts the stream of the answer. */
    private final EventFramer cutter = new EventFramer();

    /** What was tried so far. */
    private final AttemptHistory tries = new AttemptHistory();

    /** The attempt under way, or null. */
    private ForwardingAttempt current;

    /** Time until the answer began, in milliseconds, zero before. */
    private long firstAfter;

    /** Whether the head of the answer was sent to the caller. */
    private boolean answering;

    /** Whether the answer is complete or was given up. */
    private boolean over;

    /** Ends the request when its time has run out. */
    private Future<?> deadline;

    /**
     * Creates a request.
     *
     * @param forwarder what all requests share
     * @param request the request
     * @param responder takes the answer
     * @param admitted what the admission found
     * @param demand what the request asks of a target
     */
    ForwardedRequest(
            Forwarder forwarder, InboundRequest request, Responder responder, Admitted admitted, Demand demand) {
        this.forwarder = forwarder;
        this.request = request;
        this.responder = responder;
        this.admitted = admitted;
        this.demand = demand;
    }

    /** Begins to serve the request. */
    void begin() {
        long now = GatewayClock.now();
        deadline = loop().schedule(this::onDeadline, Math.max(0, admitted.deadline() - now), TimeUnit.MILLISECONDS);
        dispatch();
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    InboundRequest request() {
        return request;
    }

    /**
     * Returns what the request asks of a target.
     *
     * @return the demand
     */
    Demand demand() {
        return demand;
    }

    /**
     * Returns what takes the answer.
     *
     * @return the responder
     */
    Responder responder() {
        return responder;
    }

    /**
     * Returns the cutter of the answer's stream.
     *
     * @return the cutter
     */
    EventFramer cutter() {
        return cutter;
    }

    /**
     * Returns the names of header fields.
     *
     * @return the names
     */
    Dialect dialect() {
        return forwarder.dialect();
    }

    /**
     * Returns the thread of all callers.
     *
     * @return the thread
     */
    EventLoop loop() {
        return forwarder.loop();
    }

    /** Sends the request to the target that suits it best now. */
    private void dispatch() {
        long now = GatewayClock.now();
        Optional<AttemptResources> chosen = forwarder.dispatcher().choose(admitted, demand, tries.leftOut(), now);
        if (chosen.isEmpty()) {
            giveUp(now, "no target left");
            return;
        }
        AttemptResources dispatch = chosen.get();
        ForwardingAttempt attempt = new ForwardingAttempt(this, dispatch, now);
        current = attempt;
        forwarder
                .log(Weight.ROUTINE, "placed", this)
                .with("target", dispatch.target().target())
                .with("predictedMs", Math.round(dispatch.placement().timeToFirstTokenMillis()))
                .with("helpers", dispatch.placement().prefillHelpers())
                .with("holders", dispatch.placement().allocations().size())
                .with("send", tries.sends() + 1)
                .with("leftMs", admitted.deadline() - now)
                .write();
        dispatch.memory().take(without -> onMemory(attempt, without));
    }

    /**
     * Opens a connection for an attempt once memory was set aside for it.
     *
     * @param attempt the attempt
     * @param without an engine that had no memory for its part, empty if all had
     */
    private void onMemory(ForwardingAttempt attempt, Optional<TargetName> without) {
        if (attempt.isOver()) {
            return;
        }
        long now = GatewayClock.now();
        if (without.isPresent()) {
            attempt.cancel();
            if (tries.withoutMemory(without.get())) {
                dispatch();
            } else {
                giveUp(now, "no memory at " + without.get());
            }
            return;
        }
        long left = Math.max(1, admitted.deadline() - now);
        int connectMillis = (int) Math.min(forwarder.dispatcher().connectMillis(demand), left);
        boolean careful = !admitted.route().mayRepeat();
        forwarder
                .pool()
                .acquire(attempt.target(), careful, connectMillis, now, connection -> opened(attempt, connection));
    }

    /**
     * Takes the connection of an attempt.
     *
     * @param attempt the attempt
     * @param connection the connection, or null if none could be opened
     */
    private void opened(ForwardingAttempt attempt, TargetConnection connection) {
        if (attempt.isOver()) {
            if (connection != null) {
                forwarder.pool().giveBack(connection, GatewayClock.now());
            }
            return;
        }
        tries.leaveOut(attempt.target().target());
        if (connection == null) {
            attempt.cancel();
            forwarder.targets().failed(attempt.target(), GatewayClock.now());
            forwarder
                    .log(Weight.FAILURE, "unreachable", this)
                    .with("target", attempt.target().target())
                    .write();
            dispatch();
            return;
        }
        tries.sent();
        long now = GatewayClock.now();
        forwarder.targets().dispatched(attempt.target(), now);
        long left = admitted.deadline() - now;
        HttpHeaders headers = forwarder.dispatcher().headers(request, admitted, demand, attempt.dispatch(), left);
        cutter.lastId().ifPresent(id -> headers.set(dialect().lastEventId(), id));
        attempt.send(connection, headers);
    }

    /**
     * Decides what follows when a target did not run the request.
     *
     * @param attempt the attempt
     * @param head head of the answer
     */
    void onNotExecuted(ForwardingAttempt attempt, HttpResponse head) {
        long now = GatewayClock.now();
        tries.notRun();
        String faulty = head.headers().get(dialect().faultyTarget(), "");
        Optional<TargetName> named =
                forwarder.targets().failedAt(admitted.service().name(), faulty, now);
        named.ifPresent(tries::leaveOut);
        if (named.isEmpty() && head.status().code() == TargetStatus.MISDIRECTED) {
            forwarder.targets().failed(attempt.target(), now);
        }
        forwarder
                .log(Weight.FAILURE, "not-executed", this)
                .with("target", attempt.target().target())
                .with("status", head.status().code())
                .with("faulty", faulty)
                .write();
        if (over) {
            return;
        }
        if (maySendAgain(now)) {
            dispatch();
        } else {
            giveUp(now, "refused by " + attempt.target().target());
        }
    }

    /**
     * Tells whether a failed answer should be replaced by another target's.
     *
     * @param attempt the attempt
     * @param head head of the failed answer
     * @return whether the request may be sent again
     */
    boolean wantsAnother(ForwardingAttempt attempt, HttpResponse head) {
        boolean failed = head.status().code() >= TargetStatus.SERVER_ERROR;
        return failed && !answering && admitted.route().mayRepeat() && mayTakeBudget(GatewayClock.now());
    }

    /**
     * Sends the request to another target after a failed answer.
     *
     * @param attempt the attempt
     * @param head head of the failed answer
     */
    void onFailedAnswer(ForwardingAttempt attempt, HttpResponse head) {
        forwarder.targets().failed(attempt.target(), GatewayClock.now());
        forwarder
                .log(Weight.FAILURE, "failed-answer", this)
                .with("target", attempt.target().target())
                .with("status", head.status().code())
                .write();
        forwarder.takeBudget(admitted, GatewayClock.now());
        dispatch();
    }

    /**
     * Decides what follows when an answer was lost on its way.
     *
     * @param attempt the attempt
     * @param reason why
     */
    void onLost(ForwardingAttempt attempt, String reason) {
        long now = GatewayClock.now();
        forwarder.targets().failed(attempt.target(), now);
        forwarder
                .log(Weight.FAILURE, "lost", this)
                .with("target", attempt.target().target())
                .with("reason", reason)
                .with("afterMs", now - attempt.beganAt())
                .with("events", cutter.events())
                .write();
        cutter.dropPartial();
        if (over) {
            return;
        }
        boolean resumable = !answering || cutter.lastId().isPresent();
        if (resumable && admitted.route().mayRepeat() && maySendAgain(now)) {
            dispatch();
        } else {
            giveUp(now, reason);
        }
    }

    /**
     * Decides what follows when a target has been silent for too long.
     *
     * @param attempt the attempt
     * @param silentMillis time since its last sign
     */
    void onSilent(ForwardingAttempt attempt, long silentMillis) {
        long now = GatewayClock.now();
        if (!admitted.route().mayRepeat() || !mayTakeBudget(now)) {
            return;
        }
        attempt.cancel();
        onLost(attempt, "silent for " + silentMillis + " ms");
    }

    /**
     * Tells for how long a target may be silent.
     *
     * @param attempt the attempt
     * @param writing whether events have been coming
     * @return the time in milliseconds
     */
    long silenceMillis(ForwardingAttempt attempt, boolean writing) {
        return IdleTimeout.silenceMillis(demand, attempt.dispatch().placement(), writing);
    }

    /**
     * Tells whether another send is allowed, and takes it from the budget.
     *
     * @param now the present time
     * @return whether the request may be sent again
     */
    private boolean maySendAgain(long now) {
        return mayTakeBudget(now) && forwarder.takeBudget(admitted, now);
    }

    /**
     * Tells whether another send is allowed.
     *
     * @param now the present time
     * @return whether attempts, time and budget are left
     */
    private boolean mayTakeBudget(long now) {
        return tries.sends() < admitted.route().maximumAttempts()
                && now < admitted.deadline()
                && forwarder.hasBudget(admitted, now)
                && forwarder.dispatcher().hasTarget(admitted, tries.leftOut(), now);
    }

    /**
     * Sends the head of the answer, once.
     *
     * @param attempt the attempt that answers
     * @param head head of the target's answer
     * @param length length of the body, negative if it is not known
     */
    void beginAnswer(ForwardingAttempt attempt, HttpResponse head, long length) {
        if (answering || over) {
            return;
        }
        answering = true;
        firstAfter = GatewayClock.now() - request.arrivedAt();
        responder.head(head.status(), forwarder.dispatcher().answerHeaders(head.headers()), length);
        forwarder.onFirst(this, attempt, GatewayClock.now());
    }

    /**
     * Takes note of a complete answer.
     *
     * @param attempt the attempt
     * @param head head of the target's answer
     */
    void onAnswered(ForwardingAttempt attempt, HttpResponse head) {
        if (over) {
            return;
        }
        responder.end();
        if (head.status().code() < TargetStatus.SERVER_ERROR) {
            forwarder.targets().succeeded(attempt.target());
        }
        finish("answered", Weight.ROUTINE, String.valueOf(head.status().code()));
    }

    /**
     * Ends the request without an answer of a target.
     *
     * @param now the present time
     * @param reason why
     */
    private void giveUp(long now, String reason) {
        if (over) {
            return;
        }
        if (answering) {
            responder.abort();
            finish("aborted", Weight.FAILURE, reason);
        } else if (tries.mayHaveRun()) {
            boolean late = now >= admitted.deadline();
            ErrorCode code = late ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.TARGET_FAILED;
            responder.refuse(Refusal.notRun(code, "No answer of a target: " + reason + ".")
                    .withOutcome(RunOutcome.UNKNOWN));
            finish("failed", Weight.FAILURE, reason);
        } else {
            responder.refuse(Refusal.notRun(ErrorCode.NO_TARGET, "No target took the request: " + reason + ".")
                    .withRetryAfter(NO_TARGET_RETRY));
            finish("refused", Weight.FAILURE, reason);
        }
    }

    /** Ends the request because its time has run out. */
    private void onDeadline() {
        if (!over) {
            ForwardingAttempt attempt = current;
            giveUp(GatewayClock.now(), "deadline passed");
            if (attempt != null) {
                attempt.cancel();
            }
        }
    }

    @Override
    public void onGone() {
        if (!over) {
            ForwardingAttempt attempt = current;
            finish("caller-gone", Weight.ROUTINE, "caller closed its connection");
            if (attempt != null) {
                attempt.cancel();
            }
        }
    }

    @Override
    public void onWritable() {
        if (current != null) {
            current.resumeReading();
        }
    }

    /**
     * Ends the request.
     *
     * @param event how it ended
     * @param weight how much that matters
     * @param detail further words
     */
    private void finish(String event, Weight weight, String detail) {
        over = true;
        deadline.cancel(false);
        forwarder
                .log(weight, event, this)
                .with("detail", detail)
                .with("sends", tries.sends())
                .with("events", cutter.events())
                .with("firstMs", firstAfter)
                .with("longestPauseMs", cutter.longestPause())
                .with("target", current == null ? "" : current.target().target())
                .with("tookMs", GatewayClock.now() - request.arrivedAt())
                .write();
        forwarder.onEnd(this, event);
    }

    /**
     * Adds to a line what names the request.
     *
     * @param line the line
     * @return the line
     */
    DecisionLog.Line describe(DecisionLog.Line line) {
        return line.with("request", request.headers().get(dialect().requestId()))
                .with("route", admitted.route().name())
                .with("service", admitted.service().name())
                .with(
                        "account",
                        admitted.account()
                                .map(account -> account.name().value())
                                .orElse(""))
                .with("promptTokens", demand.promptTokens());
    }
}
