package org.bamboohatch.entry.http;

import java.util.List;
import java.util.Optional;

import org.bamboohatch.document.AccountSpecification;
import org.bamboohatch.document.DeadlineSpecification;
import org.bamboohatch.document.Sha256;
import org.bamboohatch.entry.configuration.ServiceConfiguration;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * The headers of a caller that matter here.
 *
 * @param keyHash hash of the API key, or an empty text
 * @param idempotencyKey the idempotency key, if there is one
 * @param timeoutSeconds the time that the caller gives, if it names one
 */
record CallerHeaders(String keyHash, Optional<String> idempotencyKey, Optional<Double> timeoutSeconds) {

    /** Header with the idempotency key. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Header with the caller's time, in seconds. */
    static final String REQUEST_TIMEOUT = "Request-Timeout";

    /** Header with the API key. */
    private static final String AUTHORIZATION = "Authorization";

    /** Begins the value of the authorization header. */
    private static final String BEARER = "Bearer ";

    /** Milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * Reads the headers.
     *
     * @param fields the header fields
     * @return the headers, or why the request is refused
     */
    static Result<CallerHeaders, Refusal> read(HttpFields fields) {
        for (String name : List.of(AUTHORIZATION, IDEMPOTENCY_KEY, REQUEST_TIMEOUT)) {
            if (fields.stream().filter(field -> field.is(name)).count() > 1) {
                return invalid("The header " + name + " stands twice.");
            }
        }
        String authorization = value(fields, AUTHORIZATION).orElse("");
        String hash = authorization.startsWith(BEARER)
                ? Sha256.hash(authorization.substring(BEARER.length()).strip())
                : "";
        Optional<String> key = value(fields, IDEMPOTENCY_KEY);
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > RunKey.MAX_KEY_LENGTH)) {
            return invalid("The idempotency key must be 1 to " + RunKey.MAX_KEY_LENGTH + " characters.");
        }
        Optional<String> timeout = value(fields, REQUEST_TIMEOUT);
        if (timeout.isEmpty()) {
            return Result.success(new CallerHeaders(hash, key, Optional.empty()));
        }
        try {
            double seconds = Double.parseDouble(timeout.get());
            if (!(seconds > 0) || Double.isInfinite(seconds)) {
                return invalid("The request timeout must be over zero seconds.");
            }
            return Result.success(new CallerHeaders(hash, key, Optional.of(seconds)));
        } catch (NumberFormatException malformed) {
            return invalid("The request timeout must be a number of seconds.");
        }
    }

    /**
     * Finds the client account.
     *
     * @param service the service
     * @return the account, or why the request is refused
     */
    Result<AccountSpecification, Refusal> account(ServiceConfiguration service) {
        return service.account(keyHash)
                .<Result<AccountSpecification, Refusal>>map(Result::success)
                .orElseGet(() -> Result.failure(Refusal.notRun(
                        ErrorCode.UNKNOWN_ACCOUNT, "The API key is missing or unknown to the service.")));
    }

    /**
     * Returns the time within which the request must end.
     *
     * @param deadlines what the document allows
     * @return the time in milliseconds
     */
    long timeoutMillis(DeadlineSpecification deadlines) {
        double seconds = Math.min(timeoutSeconds.orElse(deadlines.defaultSeconds()), deadlines.maximumSeconds());
        return Math.max(1, (long) (seconds * MILLIS_PER_SECOND));
    }

    /**
     * Returns a header's value.
     *
     * @param fields the header fields
     * @param name name of the header
     * @return the value, if the header is there
     */
    private static Optional<String> value(HttpFields fields, String name) {
        HttpField field = fields.getField(name);
        return field == null ? Optional.empty() : Optional.ofNullable(field.getValue());
    }

    /**
     * Refuses the headers.
     *
     * @param sentence the reason
     * @return the refusal
     */
    private static Result<CallerHeaders, Refusal> invalid(String sentence) {
        return Result.failure(Refusal.notRun(ErrorCode.INVALID_REQUEST, sentence));
    }
}
