package org.bamboohatch.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param method method of the request
 * @param uri path and query, as received
 * @param headers header fields of the request
 * @param body body of the request, empty if there is none
 * @param arrivedAt monotonic time at which the complete head had arrived, in milliseconds
 */
public record InboundRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body, long arrivedAt) {

    /**
     * Returns the path without the query.
     *
     * @return the path, as received
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns the value of an integer header field.
     *
     * @param name name of the field
     * @param fallback value to return if the field is missing or malformed
     * @return the value of the field, or the fallback
     */
    public long longHeader(String name, long fallback) {
        String value = headers.get(name);
        if (value == null) {
            return fallback;
        }
        try {
            return Long.parseLong(value.strip());
        } catch (NumberFormatException malformed) {
            return fallback;
        }
    }
}
