package org.bamboohatch.routing.wait;

/**
 * Requests that wait and are expected to be sent before another one.
 *
 * @param prefillMillis time that one engine would need for the prompts of the relaxed requests, in milliseconds
 * @param strictRequests number of strict requests
 */
public record WorkAhead(double prefillMillis, int strictRequests) {

    /** Nothing waits. */
    public static final WorkAhead NONE = new WorkAhead(0, 0);

    /**
     * Adds other waiting work.
     *
     * @param other the work to add
     * @return the sum
     */
    public WorkAhead plus(WorkAhead other) {
        return new WorkAhead(prefillMillis + other.prefillMillis, strictRequests + other.strictRequests);
    }

    boolean isEmpty() {
        return prefillMillis <= 0 && strictRequests == 0;
    }
}
