package org.bamboohatch.entry.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.routing.WaitingRequest;
import org.bamboohatch.routing.admission.PoolView;
import org.bamboohatch.routing.queue.ServedTokens;
import org.bamboohatch.routing.retry.RetryBudget;
import org.bamboohatch.routing.target.TargetView;

/** The queue and the targets of one service. Confined to the dispatcher's thread. */
final class ServicePool {

    /** Inter-token latency that is assumed before any has been observed. */
    private static final double INITIAL_INTER_TOKEN_MS = 20;

    /** Weight of a new observation in the moving average of the inter-token latency. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Waiting requests in order of arrival; retried requests are appended again. */
    private final LinkedHashMap<RequestId, CallerRequest> queue = new LinkedHashMap<>();

    private final Map<TargetName, TargetConnection> targets = new TreeMap<>();

    /** Tokens served to each client account. */
    private final ServedTokens servedTokens = new ServedTokens();

    private RetryBudget retryBudget = RetryBudget.INITIAL;

    private long decisionNumber;

    /** Moving average of the inter-token latency, in milliseconds. */
    private double millisPerOutputToken = INITIAL_INTER_TOKEN_MS;

    /** Creates a pool without requests or targets. */
    ServicePool() {}

    LinkedHashMap<RequestId, CallerRequest> queue() {
        return queue;
    }

    Map<TargetName, TargetConnection> targets() {
        return targets;
    }

    ServedTokens servedTokens() {
        return servedTokens;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    void retryBudget(RetryBudget next) {
        retryBudget = next;
    }

    /**
     * Returns the number of the next target selection and increments it.
     *
     * @return the number, counted from zero
     */
    long nextDecisionNumber() {
        return decisionNumber++;
    }

    /**
     * Updates the average inter-token latency with an ended response.
     *
     * @param millis time from the first chunk to the end of the response, in milliseconds
     * @param tokens number of output tokens after the first
     */
    void observeDecode(double millis, long tokens) {
        if (tokens > 0) {
            millisPerOutputToken += SMOOTHING_FACTOR * (millis / tokens - millisPerOutputToken);
        }
    }

    /**
     * Returns the routing policy's view of each target that serves a model.
     *
     * @param model the model, or {@code null} for a plain service
     * @param zone availability zone of the entry
     * @param now current monotonic time, in milliseconds
     * @return the views in order of the targets' names
     */
    List<TargetView> targetViews(ModelName model, ZoneName zone, long now) {
        return targets.values().stream()
                .filter(target -> target.serves(model))
                .map(target -> target.view(zone, now))
                .toList();
    }

    /**
     * Returns the routing policy's view of the pool.
     *
     * @param model the model, or {@code null} for a plain service
     * @param zone availability zone of the entry
     * @param entryCount number of entries that share the targets
     * @param now current monotonic time, in milliseconds
     * @return the view, in which this entry counts on an equal share of the targets' capacity
     */
    PoolView view(ModelName model, ZoneName zone, int entryCount, long now) {
        Collection<WaitingRequest> queued =
                queue.values().stream().map(CallerRequest::routingView).toList();
        return new PoolView(targetViews(model, zone, now), queued, millisPerOutputToken, 1.0 / entryCount);
    }
}
