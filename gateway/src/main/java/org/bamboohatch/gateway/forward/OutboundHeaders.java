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

/** Builds the headers of forwarded requests and responses from those that were received. */
final class OutboundHeaders {

    /** Fields that are valid for a single connection and must not be forwarded, in lower case. */
    private static final Set<String> HOP_BY_HOP_FIELDS = Set.of(
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

    private final Dialect dialect;

    /** Fields that are forwarded even if they are listed as options of the connection, in lower case. */
    private final Set<String> requiredFields;

    /** Fields of callers' requests that are dropped, in lower case: the caller's key and those that the gateway sets. */
    private final Set<String> reservedFields;

    OutboundHeaders(Dialect dialect) {
        this.dialect = dialect;
        this.requiredFields = lowerCase(HttpHeaderNames.HOST.toString(), dialect.requestId());
        this.reservedFields = lowerCase(
                dialect.apiKey(),
                dialect.clientAccount(),
                dialect.timeout(),
                dialect.expectedTarget(),
                dialect.priority(),
                dialect.prefillHelpers());
    }

    private static Set<String> lowerCase(String... names) {
        Set<String> lowerCase = new TreeSet<>();
        for (String name : names) {
            lowerCase.add(name.toLowerCase(Locale.ROOT));
        }
        return lowerCase;
    }

    /**
     * Builds the header fields of a request to a target.
     *
     * @param request the request of the caller
     * @param remainingMillis time until the deadline, in milliseconds
     * @param target name of the target that is expected to run the request
     * @return the header fields
     */
    HttpHeaders request(InboundRequest request, long remainingMillis, String target) {
        HttpHeaders headers = copy(request.headers(), reservedFields);
        headers.set(dialect.timeout(), Long.toString(Math.max(0, remainingMillis)));
        headers.set(dialect.expectedTarget(), target);
        boolean mayHaveBody = request.method().equals(HttpMethod.POST)
                || request.method().equals(HttpMethod.PUT)
                || request.method().equals(HttpMethod.PATCH);
        if (mayHaveBody || request.body().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        return headers;
    }

    HttpHeaders response(HttpHeaders response) {
        return copy(response, Set.of());
    }

    /**
     * Copies all header fields except those that are specific to the connection.
     *
     * @param source the received fields
     * @param excluded further fields to drop, in lower case
     * @return the copy
     */
    private HttpHeaders copy(HttpHeaders source, Set<String> excluded) {
        Set<String> connectionOptions = new TreeSet<>();
        for (String value : source.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        connectionOptions.removeAll(requiredFields);
        HttpHeaders copy = new DefaultHttpHeaders(false);
        for (Map.Entry<String, String> field : source) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_FIELDS.contains(name) && !excluded.contains(name) && !connectionOptions.contains(name)) {
                copy.add(field.getKey(), field.getValue());
            }
        }
        return copy;
    }
}
