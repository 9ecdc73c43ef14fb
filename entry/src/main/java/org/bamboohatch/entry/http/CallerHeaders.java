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
 * The request headers that an entry evaluates.
 *
 * @param keyHash hash of the API key, empty if the request carries none
 * @param idempotencyKey value of the header {@code Idempotency-Key}
 * @param timeoutSeconds value of the header {@code Request-Timeout}, in seconds
 */
record CallerHeaders(String keyHash, Optional<String> idempotencyKey, Optional<Double> timeoutSeconds) {

    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    static final String REQUEST_TIMEOUT = "Request-Timeout";

    private static final String AUTHORIZATION = "Authorization";

    /** Prefix of an {@code Authorization} header that carries an API key. */
    private static final String BEARER = "Bearer ";

    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * Parses the headers of a request. A repeated header is an error.
     *
     * @param fields the HTTP header fields
     * @return the parsed headers, or the error to report to the caller
     */
    static Result<CallerHeaders, Refusal> read(HttpFields fields) {
        for (String name : List.of(AUTHORIZATION, IDEMPOTENCY_KEY, REQUEST_TIMEOUT)) {
            if (fields.stream().filter(field -> field.is(name)).count() > 1) {
                return invalid("The header " + name + " stands twice.");
            }
        }
        String authorization = value(fields, AUTHORIZATION).orElse("");
        String keyHash = authorization.startsWith(BEARER)
                ? Sha256.hash(authorization.substring(BEARER.length()).strip())
                : "";
        Optional<String> key = value(fields, IDEMPOTENCY_KEY);
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > RunKey.MAX_KEY_LENGTH)) {
            return invalid("The idempotency key must be 1 to " + RunKey.MAX_KEY_LENGTH + " characters.");
        }
        Optional<String> timeout = value(fields, REQUEST_TIMEOUT);
        if (timeout.isEmpty()) {
            return Result.success(new CallerHeaders(keyHash, key, Optional.empty()));
        }
        try {
            double seconds = Double.parseDouble(timeout.get());
            if (!(seconds > 0) || Double.isInfinite(seconds)) {
                return invalid("The request timeout must be over zero seconds.");
            }
            return Result.success(new CallerHeaders(keyHash, key, Optional.of(seconds)));
        } catch (NumberFormatException malformed) {
            return invalid("The request timeout must be a number of seconds.");
        }
    }

    /**
     * Finds the client account that the API key belongs to.
     *
     * @param service configuration of the requested service
     * @return the account, or the error to report to the caller
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
     * @param deadlines default and maximum timeout of the service
     * @return the timeout in milliseconds, at least one
     */
    long timeoutMillis(DeadlineSpecification deadlines) {
        double seconds = Math.min(timeoutSeconds.orElse(deadlines.defaultSeconds()), deadlines.maximumSeconds());
        return Math.max(1, (long) (seconds * MILLIS_PER_SECOND));
    }

    private static Optional<String> value(HttpFields fields, String name) {
        HttpField field = fields.getField(name);
        return field == null ? Optional.empty() : Optional.ofNullable(field.getValue());
    }

    private static Result<CallerHeaders, Refusal> invalid(String sentence) {
        return Result.failure(Refusal.notRun(ErrorCode.INVALID_REQUEST, sentence));
    }
}
