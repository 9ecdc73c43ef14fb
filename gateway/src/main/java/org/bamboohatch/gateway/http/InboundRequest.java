package org.bamboohatch.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method the method
 * @param uri path and query as sent
 * @param headers the header fields
 * @param body the body
 * @param arrivedAt time at which the head had arrived, in milliseconds
 */
public record InboundRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body, long arrivedAt) {

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Reads a header field that holds a number.
     *
     * @param name name of the field
     * @param fallback value if the field is missing or holds none
     * @return the number
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
