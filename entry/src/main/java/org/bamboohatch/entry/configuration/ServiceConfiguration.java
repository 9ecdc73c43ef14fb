package org.bamboohatch.entry.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.AccountSpecification;
import org.bamboohatch.document.ServiceDocument;

/**
 * A service document in the form that requests need.
 *
 * @param document the document
 * @param revision its revision
 * @param accounts the client accounts by key hash
 */
public record ServiceConfiguration(
        ServiceDocument document, long revision, Map<String, AccountSpecification> accounts) {

    /** Makes the map immutable. */
    public ServiceConfiguration {
        accounts = Map.copyOf(accounts);
    }

    /**
     * Makes the form of a document.
     *
     * @param document the document
     * @param revision its revision
     * @return the form
     */
    public static ServiceConfiguration of(ServiceDocument document, long revision) {
        Map<String, AccountSpecification> accounts = new HashMap<>();
        for (AccountSpecification account : document.accounts()) {
            account.keyHashes().forEach(hash -> accounts.put(hash, account));
        }
        return new ServiceConfiguration(document, revision, accounts);
    }

    /**
     * Finds a client account.
     *
     * @param keyHash hash of the API key
     * @return the account
     */
    public Optional<AccountSpecification> account(String keyHash) {
        return Optional.ofNullable(accounts.get(keyHash));
    }
}
