package org.bamboohatch.document;

import java.util.Locale;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Rule that states whether calls of a plain service may be repeated.
 *
 * @param method HTTP method, or {@code *} for every method
 * @param path path prefix relative to the service, with a leading slash
 * @param repeatable whether matching calls are idempotent
 */
public record CallSpecification(
        @Setting(description = "HTTP method, or * for every method", fallback = "\"*\"")
        String method,

        @Setting(description = "path prefix below the service, beginning with a slash")
        String path,

        @Setting(description = "whether the call is idempotent and may be repeated")
        boolean repeatable) {

    /**
     * Indicates whether this rule applies to a call. The path must be equal to or below the path of the rule; a partial
     * path segment does not match.
     *
     * @param calledMethod HTTP method of the call, in any case
     * @param calledPath path of the call relative to the service
     * @return {@code true} if the rule applies
     */
    public boolean matches(String calledMethod, String calledPath) {
        boolean sameMethod = "*".equals(method) || method.equalsIgnoreCase(calledMethod);
        return sameMethod && (calledPath.equals(path) || calledPath.startsWith(path.endsWith("/") ? path : path + "/"));
    }

    /**
     * Returns a printable form of the calls that this rule applies to.
     *
     * @return method in upper case and path, separated by a space
     */
    public String label() {
        return method.toUpperCase(Locale.ROOT) + " " + path;
    }
}
