package org.bamboohatch.gateway.forward;

import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.bamboohatch.document.fleet.FleetAccount;
import org.bamboohatch.gateway.http.InboundRequest;

/** Identifies requests of the same content, whatever ids and deadlines their attempts have. */
final class RequestFingerprint {

    private static final int RADIX = 36;

    private RequestFingerprint() {}

    /**
     * Returns the fingerprint of a request. It begins with the account, so that no caller can make a request that is
     * taken for one of another account.
     *
     * @param request the request of the caller
     * @param account client account of the caller, empty if unknown
     * @return the account and a hash of method, host, path, query and body; equal for equal requests of an account at all
     *     gateways
     */
    static String of(InboundRequest request, Optional<FleetAccount> account) {
        long hash = Hashing.wyhashFinal4()
                .hashStream()
                .putString(request.method().name())
                .putString(request.headers().get(HttpHeaderNames.HOST, ""))
                .putString(request.uri())
                .putByteArray(request.body())
                .getAsLong();
        return account.map(known -> known.name().value()).orElse("") + ':' + Long.toUnsignedString(hash, RADIX);
    }
}
