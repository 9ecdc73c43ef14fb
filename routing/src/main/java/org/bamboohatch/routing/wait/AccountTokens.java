package org.bamboohatch.routing.wait;

import java.util.HashMap;
import java.util.Map;

import org.bamboohatch.kernel.id.AccountName;

/**
 * Tokens that were served to each client account recently, for fairness between accounts. Older tokens count less: half
 * after ten seconds.
 */
public final class AccountTokens {

    /** Time after which a token counts half; longer than a flood lasts, shorter than a change of the usual shares. */
    private static final double HALF_LIFE_MILLIS = 10_000;

    /** Number of tokens below which an account is forgotten. */
    private static final double NEGLIGIBLE_TOKENS = 100;

    private final Map<AccountName, Double> tokens = new HashMap<>();

    /** Time as of which the tokens count, in milliseconds. */
    private long asOf;

    /** Creates a record without tokens. */
    public AccountTokens() {}

    /**
     * Adds the tokens of a request that is sent.
     *
     * @param account the client account
     * @param added prompt and output tokens
     * @param now current time, in milliseconds
     */
    public void add(AccountName account, double added, long now) {
        decay(now);
        tokens.merge(account, added, Double::sum);
    }

    /**
     * Replaces all tokens.
     *
     * @param replacement tokens by account
     * @param now current time, in milliseconds
     */
    public void replace(Map<AccountName, Double> replacement, long now) {
        tokens.clear();
        tokens.putAll(replacement);
        asOf = now;
    }

    /**
     * Returns the tokens of all accounts.
     *
     * @param now current time, in milliseconds
     * @return tokens by account, without negligible ones
     */
    public Map<AccountName, Double> all(long now) {
        decay(now);
        return Map.copyOf(tokens);
    }

    private void decay(long now) {
        // Decays in steps, as requests may arrive every few milliseconds.
        if (now - asOf >= HALF_LIFE_MILLIS / 20) {
            double factor = Math.pow(0.5, (now - asOf) / HALF_LIFE_MILLIS);
            tokens.replaceAll((account, value) -> value * factor);
            tokens.values().removeIf(value -> value < NEGLIGIBLE_TOKENS);
            asOf = now;
        }
    }
}
