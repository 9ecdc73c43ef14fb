package org.bamboohatch.entry.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.AccountSpecification;
import org.bamboohatch.document.ServiceDocument;

/**
 * A service document, indexed for request handling.
 *
 * @param document the service document
 * @param revision revision at which the document was published
 * @param accountsByKeyHash client accounts by the hash of each of their API keys
 */
public record ServiceConfiguration(
        ServiceDocument document, long revision, Map<String, AccountSpecification> accountsByKeyHash) {

    /** Creates a configuration with an immutable copy of the accounts. */
    public ServiceConfiguration {
        accountsByKeyHash = Map.copyOf(accountsByKeyHash);
    }

    /**
     * Creates the configuration of a service from its document.
     *
     * @param document the service document
     * @param revision revision at which the document was published
     * @return the configuration
     */
    public static ServiceConfiguration of(ServiceDocument document, long revision) {
        Map<String, AccountSpecification> accountsByKeyHash = new HashMap<>();
        for (AccountSpecification account : document.accounts()) {
            account.keyHashes().forEach(hash -> accountsByKeyHash.put(hash, account));
        }
        return new ServiceConfiguration(document, revision, accountsByKeyHash);
    }

    /**
     * Finds the client account that an API key belongs to.
     *
     * @param keyHash hash of the API key
     * @return the account, or empty if the key is unknown to the service
     */
    public Optional<AccountSpecification> account(String keyHash) {
        return Optional.ofNullable(accountsByKeyHash.get(keyHash));
    }
}
