package org.bamboohatch.document;

import java.util.List;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * A client account of a service.
 *
 * @param name name of the account
 * @param weight share of served tokens relative to the other accounts
 * @param maximumQueued maximum number of requests that may wait at one entry
 * @param keyHashes SHA-256 hashes of the API keys, 64 lower-case hexadecimal digits each
 */
public record AccountSpecification(
        @Setting(description = "name of the client account") AccountName name,

        @Setting(
                description = "share of served tokens relative to the other accounts",
                min = 0.01,
                max = 1000,
                fallback = "1.0")
        double weight,

        @Setting(
                description = "requests of the account that may wait at one entry",
                unit = "requests",
                min = 1,
                max = 100_000,
                fallback = "1000")
        int maximumQueued,

        @Setting(description = "SHA-256 hashes of the API keys, 64 hexadecimal digits each")
        List<String> keyHashes) {

    /** Copies the list to keep the record immutable. */
    public AccountSpecification {
        keyHashes = List.copyOf(keyHashes);
    }
}
