package org.bamboohatch.standin.load;

import java.util.Locale;

/**
 * Result of one request.
 *
 * @param shape name of the request's shape
 * @param account number of the account
 * @param arrivedMillis arrival time, in milliseconds since the start of the run
 * @param promptTokens length of the prompt, in tokens
 * @param outcome how the request ended
 * @param status the HTTP status, or zero without a response
 * @param firstMillis time to first token, in milliseconds, or negative without a token
 * @param totalMillis time from the arrival to the end, in milliseconds
 * @param gapMillis mean inter-token latency, in milliseconds, or negative with less than two tokens
 */
record LoadResult(
        String shape,
        int account,
        double arrivedMillis,
        long promptTokens,
        Outcome outcome,
        int status,
        double firstMillis,
        double totalMillis,
        double gapMillis) {

    /** Outcome of a request. */
    enum Outcome {
        /** The complete and correct answer arrived in time. */
        OK,
        /** The request was refused with status 429 or 503 in time. */
        REFUSED,
        /** The request ended after its deadline. */
        LATE,
        /** The request ended in time without a complete answer. */
        FAILED,
        /** The answer had wrong or malformed events, or ended regularly with a wrong number of tokens. */
        WRONG
    }

    /** Header of the CSV file. */
    static final String CSV_HEADER = "shape,account,arrived_ms,prompt_tokens,outcome,status,first_ms,total_ms,gap_ms";

    /** Returns the line of the CSV file, without a line break. */
    String csv() {
        return String.format(
                Locale.ROOT,
                "%s,%d,%.1f,%d,%s,%d,%.2f,%.2f,%.3f",
                shape,
                account,
                arrivedMillis,
                promptTokens,
                outcome,
                status,
                firstMillis,
                totalMillis,
                gapMillis);
    }
}
