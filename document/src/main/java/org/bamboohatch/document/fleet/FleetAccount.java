package org.bamboohatch.document.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.AccountName;

/**
 * A client account that is valid for all services.
 *
 * @param name name of the account
 * @param keys API keys that identify requests of the account
 * @param priority priority of its requests, which overrides that of the route; negative if the route's applies
 */
public record FleetAccount(AccountName name, List<String> keys, int priority) {

    /** Copies the list to keep the record immutable. */
    public FleetAccount {
        keys = List.copyOf(keys);
    }
}
