package org.bamboohatch.routing;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.RequestId;

/** Creates waiting requests with consecutive identifiers for tests. */
public final class Requests {

    private static int count;

    private Requests() {}

    public static WaitingRequest of(String account, long promptTokens, long arrivedAt, long deadline) {
        count++;
        return new WaitingRequest(
                new RequestId("r" + count),
                new AccountName(account),
                1,
                LengthClass.of(promptTokens),
                promptTokens,
                10,
                arrivedAt,
                deadline);
    }
}
