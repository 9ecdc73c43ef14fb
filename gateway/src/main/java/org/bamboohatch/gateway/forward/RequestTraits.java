package org.bamboohatch.gateway.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.bamboohatch.document.fleet.FleetAccount;
import org.bamboohatch.gateway.http.InboundRequest;
import org.bamboohatch.kernel.id.RequestTrait;

/**
 * What a request may have in common with others.
 *
 * @param promptParts shared parts of the prompt, in its order
 * @param content the same for equal requests of an account at all gateways, whatever ids and deadlines their attempts have
 */
record RequestTraits(List<RequestTrait> promptParts, RequestTrait content) {

    /** Number of prompt parts that are taken into account; limits the work that one request can cause. */
    static final int MAX_PARTS = 64;

    private static final int RADIX = 36;

    RequestTraits {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Determines the traits of a request.
     *
     * @param request the request of the caller
     * @param account client account of the caller, empty if unknown
     * @param promptPartsHeader name of the header field in which callers list the parts of their prompts
     * @return the traits
     */
    static RequestTraits of(InboundRequest request, Optional<FleetAccount> account, String promptPartsHeader) {
        return new RequestTraits(sharedParts(request.headers().get(promptPartsHeader)), content(request, account));
    }

    /**
     * Returns the parts that other requests may have in common with this one. These are all parts but the last, which
     * belongs to the request or its session alone.
     *
     * @param value value of the header field, or null if the request has none
     * @return ids of the first {@value #MAX_PARTS} shared parts, in the order of the prompt
     */
    private static List<RequestTrait> sharedParts(String value) {
        if (value == null) {
            return List.of();
        }
        String[] parts = value.split(",");
        return Arrays.stream(parts, 0, Math.min(MAX_PARTS, parts.length - 1))
                .map(part -> part.contains(":") ? part.substring(0, part.indexOf(':')) : part)
                .map(id -> new RequestTrait(id.strip()))
                .distinct()
                .toList();
    }

    /**
     * Identifies the content by a hash of method, host, path, query and body. The account is part of it, so that no caller
     * can make a request that is taken for one of another account.
     *
     * @param request the request of the caller
     * @param account client account of the caller, empty if unknown
     * @return the content
     */
    private static RequestTrait content(InboundRequest request, Optional<FleetAccount> account) {
        long hash = Hashing.wyhashFinal4()
                .hashStream()
                .putString(request.method().name())
                .putString(request.headers().get(HttpHeaderNames.HOST, ""))
                .putString(request.uri())
                .putByteArray(request.body())
                .getAsLong();
        String name = account.map(known -> known.name().value()).orElse("");
        return RequestTrait.ofContent(Long.toUnsignedString(hash, RADIX) + ':' + name);
    }

    /**
     * Returns all traits, the one that the fewest requests have last.
     *
     * @return the traits
     */
    List<RequestTrait> all() {
        List<RequestTrait> all = new ArrayList<>(promptParts);
        all.add(content);
        return List.copyOf(all);
    }
}
