package org.bamboohatch.routing.queue;

import java.util.HashMap;
import java.util.Map;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.routing.WaitingRequest;

/**
 * Weighted tokens served to each account, for fair queueing. An account that was idle starts at the level of the least
 * served waiting account, so that it cannot claim the share that it left unused.
 */
public final class ServedTokens {

    /** Weighted tokens by account; accounts at or below the floor are omitted. */
    private final Map<AccountName, Double> served = new HashMap<>();

    /** Level at which an idle account starts. */
    private double floor;

    /** Creates a record without any served tokens. */
    public ServedTokens() {}

    /**
     * Returns the weighted tokens served to an account.
     *
     * @param account the client account
     * @return served tokens divided by the weight of the account, not below the floor
     */
    public double weightedTokens(AccountName account) {
        return Math.max(floor, served.getOrDefault(account, 0.0));
    }

    /**
     * Adds the weighted tokens of a request that is being dispatched.
     *
     * @param request the dispatched request
     */
    public void recordServed(WaitingRequest request) {
        double level = weightedTokens(request.account());
        served.put(request.account(), level + request.weightedTokens());
        served.values().removeIf(value -> value <= floor);
    }

    /**
     * Subtracts the weighted tokens of a dispatched request that returns to the queue without having been served.
     *
     * @param request the returned request
     */
    public void revertServed(WaitingRequest request) {
        served.computeIfPresent(request.account(), (account, level) -> level - request.weightedTokens());
    }

    /**
     * Raises the level at which idle accounts start; a level below the current one has no effect.
     *
     * @param level weighted tokens of the least served waiting account
     */
    public void raiseFloor(double level) {
        floor = Math.max(floor, level);
    }
}
