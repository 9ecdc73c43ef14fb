package org.bamboohatch.gateway.forward;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.http.InboundRequest;

/** Chooses the header fields that are passed on. */
final class OutboundHeaders {

    /** Fields that concern one connection only, in lower case. */
    private static final Set<String> CONNECTION_FIELDS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    /** Names of the header fields. */
    private final Dialect dialect;

    /** Fields that the gateway sets itself, whatever the caller sent, in lower case. */
    private final Set<String> ownFields;

    /**
     * Creates the choice.
     *
     * @param dialect names of the header fields
     */
    OutboundHeaders(Dialect dialect) {
        this.dialect = dialect;
        this.ownFields = lower(
                dialect.key(),
                dialect.account(),
                dialect.deadline(),
                dialect.expectedTarget(),
                dialect.priority(),
                dialect.helpers());
    }

    /**
     * Puts names in lower case.
     *
     * @param names the names
     * @return the names in lower case
     */
    private static Set<String> lower(String... names) {
        Set<String> lower = new TreeSet<>();
        for (String name : names) {
            lower.add(name.toLowerCase(Locale.ROOT));
        }
        return lower;
    }

    /**
     * Makes the header fields of a request to a target.
     *
     * @param request the caller's request
     * @param leftMillis time that is left for the answer, in milliseconds
     * @param target name of the target
     * @return the fields
     */
    HttpHeaders request(InboundRequest request, long leftMillis, String target) {
        HttpHeaders headers = copy(request.headers(), ownFields);
        headers.set(dialect.deadline(), Long.toString(Math.max(0, leftMillis)));
        headers.set(dialect.expectedTarget(), target);
        boolean takesBody = request.method().equals(HttpMethod.POST)
                || request.method().equals(HttpMethod.PUT)
                || request.method().equals(HttpMethod.PATCH);
        if (takesBody || request.body().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        return headers;
    }

    /**
     * Makes the header fields of an answer to a caller.
     *
     * @param answer the target's fields
     * @return the fields
     */
    HttpHeaders answer(HttpHeaders answer) {
        return copy(answer, Set.of());
    }

    /**
     * Copies fields but for those of the connection.
     *
     * @param from the fields
     * @param left further fields that are left out, in lower case
     * @return the copy
     */
    private static HttpHeaders copy(HttpHeaders from, Set<String> left) {
        Set<String> named = new TreeSet<>();
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                named.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = new DefaultHttpHeaders(false);
        for (Map.Entry<String, String> field : from) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_FIELDS.contains(name) && !left.contains(name) && !named.contains(name)) {
                copy.add(field.getKey(), field.getValue());
            }
        }
        return copy;
    }
}
