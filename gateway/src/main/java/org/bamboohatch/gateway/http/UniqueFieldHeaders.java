package org.bamboohatch.gateway.http;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/** Header fields of a received message, some of which must not be repeated. */
public final class UniqueFieldHeaders extends DefaultHttpHeaders {

    private final List<String> uniqueNames;

    /**
     * Creates empty headers.
     *
     * @param uniqueNames names of the fields that must not be repeated
     */
    public UniqueFieldHeaders(List<String> uniqueNames) {
        this.uniqueNames = uniqueNames;
    }

    /**
     * Adds a field.
     *
     * @throws IllegalArgumentException if the field must not be repeated and is present, or is malformed
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        for (String uniqueName : uniqueNames) {
            if (AsciiString.contentEqualsIgnoreCase(uniqueName, name)) {
                requireAbsent(uniqueName);
            }
        }
        return super.add(name, value);
    }

    private void requireAbsent(String name) {
        if (contains(name)) {
            throw new IllegalArgumentException("repeated field " + name);
        }
    }
}
