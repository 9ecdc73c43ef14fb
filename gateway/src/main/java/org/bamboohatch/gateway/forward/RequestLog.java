package org.bamboohatch.gateway.forward;

import org.bamboohatch.gateway.forward.AdmissionResult.Admitted;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.routing.fleet.Demand;

/** Writes the lines of the decision log that concern one request. Each line identifies the request. */
final class RequestLog {

    /** Number of parts of a prompt that a line names. */
    private static final int MAX_LOGGED_PARTS = 8;

    private final DecisionLog log;

    private final String requestId;

    private final Admitted admitted;

    private final Demand demand;

    private final RequestTraits traits;

    /**
     * Creates a log of a request.
     *
     * @param log the decision log
     * @param requestId id of the request
     * @param admitted route, service and account of the request
     * @param demand what the request needs from a target
     * @param traits what the request may have in common with others
     */
    RequestLog(DecisionLog log, String requestId, Admitted admitted, Demand demand, RequestTraits traits) {
        this.log = log;
        this.requestId = requestId;
        this.admitted = admitted;
        this.demand = demand;
        this.traits = traits;
    }

    /**
     * Creates a line that identifies the request.
     *
     * @param category category of the line
     * @param event name of the decision
     * @return the line, to be completed and written by the caller
     */
    private DecisionLog.Line line(Category category, String event) {
        return log.line(category, event)
                .with("request", requestId)
                .with("route", admitted.route().name())
                .with("service", admitted.service().name())
                .with(
                        "account",
                        admitted.account()
                                .map(account -> account.name().value())
                                .orElse(""))
                .with("promptTokens", demand.promptTokens());
    }

    private DecisionLog.Line line(Category category, String event, ForwardingAttempt attempt) {
        return line(category, event).with("target", attempt.target().target());
    }

    void placed(ForwardingAttempt attempt, int send, long remainingMillis) {
        AttemptResources resources = attempt.resources();
        line(Category.ROUTINE, "placed", attempt)
                .with("predictedMs", Math.round(resources.placement().timeToFirstTokenMillis()))
                .with("helpers", resources.placement().prefillHelpers())
                .with("holders", resources.placement().allocations().size())
                .with("send", send)
                .with("leftMs", remainingMillis)
                .write();
    }

    void unreachable(ForwardingAttempt attempt) {
        line(Category.FAILURE, "unreachable", attempt).write();
    }

    void notExecuted(ForwardingAttempt attempt, int status, String failedAddress) {
        line(Category.FAILURE, "not-executed", attempt)
                .with("status", status)
                .with("faulty", failedAddress)
                .write();
    }

    void failedResponse(ForwardingAttempt attempt, int status) {
        line(Category.FAILURE, "failed-answer", attempt).with("status", status).write();
    }

    void lost(ForwardingAttempt attempt, String reason, long events, long now) {
        line(Category.FAILURE, "lost", attempt)
                .with("reason", reason)
                .with("afterMs", now - attempt.startedAt())
                .with("events", events)
                .with("attemptEvents", events - attempt.eventsBefore())
                .with("response", attempt.describeResponse())
                .with(
                        "promptParts",
                        traits.promptParts().stream().limit(MAX_LOGGED_PARTS).toList())
                .with("fingerprint", traits.content())
                .write();
    }

    void firstByte(ForwardingAttempt attempt, long arrivedAt, long now) {
        line(Category.ROUTINE, "first", attempt)
                .with("afterMs", now - attempt.startedAt())
                .with("sinceArrivalMs", now - arrivedAt)
                .write();
    }

    /**
     * Creates the summary of the request.
     *
     * @param event the outcome, used as the event name of the line
     * @param category category of the line
     * @param detail status of the response, or the reason why it is missing or incomplete
     * @return the line, to be completed and written by the caller
     */
    DecisionLog.Line summary(String event, Category category, String detail) {
        return line(category, event).with("detail", detail).with("fingerprint", traits.content());
    }
}
