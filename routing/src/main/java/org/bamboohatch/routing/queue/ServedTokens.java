package org.bamboohatch.routing.queue;

import java.util.HashMap;
import java.util.Map;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.routing.WaitingRequest;

/**
 * Weighted tokens served to each account. An account that was idle begins at the level of the least served busy
 * one, so that it can't claim what it left unused.
 */
public final class ServedTokens {

    /** Weighted tokens by account. */
    private final Map<AccountName, Double> served = new HashMap<>();

    /** Level at which an idle account begins. */
    private double floor;

    /** Creates the record of a queue that has served nobody. */
    public ServedTokens() {}

    /**
     * Returns the level of an account.
     *
     * @param account the account
     * @return weighted tokens, not below the floor
     */
    public double weightedTokens(AccountName account) {
        return Math.max(floor, served.getOrDefault(account, 0.0));
    }

    /**
     * Takes note of a served request.
     *
     * @param request the request
     */
    public void recordServed(WaitingRequest request) {
        double level = weightedTokens(request.account());
        served.put(request.account(), level + request.weightedTokens());
        served.values().removeIf(value -> value <= floor);
    }

    /**
     * Takes note that a served request was given back unserved.
     *
     * @param request the request
     */
    public void revertServed(WaitingRequest request) {
        served.computeIfPresent(request.account(), (account, level) -> level - request.weightedTokens());
    }

    /**
     * Raises the floor to the level of the least served waiting account.
     *
     * @param level the level
     */
    public void raiseFloor(double level) {
        floor = Math.max(floor, level);
    }
}
