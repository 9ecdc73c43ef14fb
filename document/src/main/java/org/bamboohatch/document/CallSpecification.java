package org.bamboohatch.document;

import java.util.Locale;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Calls of a plain service and whether they may be repeated.
 *
 * @param method the HTTP method, or {@code *}
 * @param path the path prefix below the service, beginning with a slash
 * @param repeatable whether the call is idempotent
 */
public record CallSpecification(
        @Setting(description = "HTTP method, or * for every method", fallback = "\"*\"")
        String method,

        @Setting(description = "path prefix below the service, beginning with a slash")
        String path,

        @Setting(description = "whether the call is idempotent and may be repeated")
        boolean repeatable) {

    /**
     * Tells whether a call falls under this rule.
     *
     * @param calledMethod the HTTP method of the call
     * @param calledPath the path of the call below the service
     * @return whether the rule speaks of the call
     */
    public boolean matches(String calledMethod, String calledPath) {
        boolean sameMethod = "*".equals(method) || method.equalsIgnoreCase(calledMethod);
        return sameMethod && (calledPath.equals(path) || calledPath.startsWith(path.endsWith("/") ? path : path + "/"));
    }

    /**
     * Returns the rule in words.
     *
     * @return method and path
     */
    public String label() {
        return method.toUpperCase(Locale.ROOT) + " " + path;
    }
}
