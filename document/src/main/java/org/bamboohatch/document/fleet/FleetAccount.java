package org.bamboohatch.document.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.AccountName;

/**
 * A client account that all services share.
 *
 * @param name name of the account
 * @param keys keys that its requests carry
 * @param priority rank of its requests, which goes before the route's, negative for none
 */
public record FleetAccount(AccountName name, List<String> keys, int priority) {

    /** Makes the list immutable. */
    public FleetAccount {
        keys = List.copyOf(keys);
    }
}
