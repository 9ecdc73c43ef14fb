package org.bamboohatch.standin.load;

import java.util.Locale;

/**
 * What became of one request.
 *
 * @param shape kind of the request
 * @param account number of the account
 * @param arrivedMillis time of arrival since the start
 * @param promptTokens length of the prompt
 * @param outcome ok, refused, late, failed or wrong
 * @param status the HTTP status, zero if there was none
 * @param firstMillis time to the first token, negative if there was none
 * @param totalMillis time to the end
 * @param gapMillis mean time between two tokens, negative if there was none
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

    /** Ends of a request. */
    enum Outcome {
        /** The whole and right answer came in time. */
        OK,
        /** The request was refused as not run. */
        REFUSED,
        /** The request ended after its time. */
        LATE,
        /** The request failed. */
        FAILED,
        /** The answer was not the right one, or short and looked whole. */
        WRONG
    }

    /** Head of the file with one line a request. */
    static final String CSV_HEAD = "shape,account,arrived_ms,prompt_tokens,outcome,status,first_ms,total_ms,gap_ms";

    /**
     * Renders a line.
     *
     * @return the values joined by commas
     */
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
