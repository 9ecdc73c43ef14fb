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

/** The queue and the targets of one service; used on the dispatcher's thread only. */
final class ServicePool {

    /** Time between two answer tokens before any has been seen, in milliseconds. */
    private static final double INITIAL_TOKEN_MS = 20;

    /** Weight of a new observation in the mean time between two answer tokens. */
    private static final double SMOOTHING = 0.05;

    /** The waiting requests in order of arrival. */
    private final LinkedHashMap<RequestId, CallerRequest> waiting = new LinkedHashMap<>();

    /** The targets by name. */
    private final Map<TargetName, TargetConnection> targets = new TreeMap<>();

    /** Tokens served to the accounts. */
    private final ServedTokens served = new ServedTokens();

    /** Retries that may still be made. */
    private RetryBudget budget = RetryBudget.INITIAL;

    /** Number of the next decision. */
    private long turn;

    /** Mean time between two answer tokens, in milliseconds. */
    private double millisPerOutputToken = INITIAL_TOKEN_MS;

    /** Creates a pool without requests and targets. */
    ServicePool() {}

    /**
     * Returns the waiting requests.
     *
     * @return the requests in order of arrival
     */
    LinkedHashMap<RequestId, CallerRequest> waiting() {
        return waiting;
    }

    /**
     * Returns the targets.
     *
     * @return the targets by name
     */
    Map<TargetName, TargetConnection> targets() {
        return targets;
    }

    /**
     * Returns the tokens served to the accounts.
     *
     * @return the record
     */
    ServedTokens served() {
        return served;
    }

    /**
     * Returns the retries that may still be made.
     *
     * @return the budget
     */
    RetryBudget budget() {
        return budget;
    }

    /**
     * Sets the retries that may still be made.
     *
     * @param next the budget
     */
    void budget(RetryBudget next) {
        budget = next;
    }

    /**
     * Returns the number of the next decision.
     *
     * @return the number
     */
    long nextTurn() {
        return turn++;
    }

    /**
     * Takes note of the time that an answer took after its first token.
     *
     * @param millis the time in milliseconds
     * @param tokens the tokens after the first
     */
    void observeDecode(double millis, long tokens) {
        if (tokens > 0) {
            millisPerOutputToken += SMOOTHING * (millis / tokens - millisPerOutputToken);
        }
    }

    /**
     * Describes the targets that serve a model.
     *
     * @param model the model, or null for a plain service
     * @param zone the entry's availability zone
     * @param now the present time, in milliseconds
     * @return the descriptions
     */
    List<TargetView> views(ModelName model, ZoneName zone, long now) {
        return targets.values().stream()
                .filter(target -> target.serves(model))
                .map(target -> target.view(zone, now))
                .toList();
    }

    /**
     * Describes the pool for admission.
     *
     * @param model the model, or null for a plain service
     * @param zone the entry's availability zone
     * @param entries number of entries that share the targets
     * @param now the present time, in milliseconds
     * @return the description
     */
    PoolView view(ModelName model, ZoneName zone, int entries, long now) {
        Collection<WaitingRequest> queue =
                waiting.values().stream().map(CallerRequest::waiting).toList();
        return new PoolView(views(model, zone, now), queue, millisPerOutputToken, 1.0 / entries);
    }
}
