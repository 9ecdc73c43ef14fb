package org.bamboohatch.standin.orders;

import java.util.ArrayList;
import java.util.List;

/** One order and everything that its client was told. */
final class Order {

    /** Ends of a try. */
    enum Answer {
        /** The order ran and its answer came. */
        DONE,
        /** The order did not run under this try. */
        NOT_RUN,
        /** The order may have run, or nothing was heard. */
        UNKNOWN
    }

    /** The body, which also names the order at the service. */
    private final String body;

    /** What the client was told, try by try. */
    private final List<Answer> answers = new ArrayList<>();

    /** The answer bodies of the tries that were done. */
    private final List<String> receipts = new ArrayList<>();

    /** Time of the slowest try, in milliseconds. */
    private double slowestMillis;

    /** Time from the first try to the answer, in milliseconds, negative before it. */
    private double doneMillis = -1;

    /**
     * Creates an order.
     *
     * @param body the body
     */
    Order(String body) {
        this.body = body;
    }

    /**
     * Returns the body.
     *
     * @return the body
     */
    String body() {
        return body;
    }

    /**
     * Takes the end of a try.
     *
     * @param answer what the client was told
     * @param receipt the answer body
     * @param millis the time of the try, in milliseconds
     * @param sinceFirstMillis time since the first try, in milliseconds
     */
    synchronized void take(Answer answer, String receipt, double millis, double sinceFirstMillis) {
        answers.add(answer);
        slowestMillis = Math.max(slowestMillis, millis);
        if (answer == Answer.DONE) {
            receipts.add(receipt);
            doneMillis = doneMillis < 0 ? sinceFirstMillis : doneMillis;
        }
    }

    /**
     * Tells whether the answer came.
     *
     * @return whether a try was done
     */
    synchronized boolean isDone() {
        return !receipts.isEmpty();
    }

    /**
     * Tells whether every try was told not to have run.
     *
     * @return whether the order must not have run
     */
    synchronized boolean isNotRun() {
        return answers.stream().allMatch(answer -> answer == Answer.NOT_RUN);
    }

    /**
     * Returns the time of the slowest try.
     *
     * @return the time in milliseconds
     */
    synchronized double slowestMillis() {
        return slowestMillis;
    }

    /**
     * Returns the time from the first try to the answer.
     *
     * @return the time in milliseconds, negative if there was no answer
     */
    synchronized double doneMillis() {
        return doneMillis;
    }

    /**
     * Compares what the client was told with how often the order ran.
     *
     * @param runs how often it ran
     * @return what is wrong, or an empty text
     */
    synchronized String violation(long runs) {
        if (runs > 1) {
            return body + " ran " + runs + " times, answers " + answers;
        }
        if (isDone() && runs != 1) {
            return body + " was answered but ran " + runs + " times";
        }
        if (isNotRun() && runs != 0) {
            return body + " was told not to have run but ran " + runs + " times, answers " + answers;
        }
        return receipts.stream().distinct().count() > 1 ? body + " was answered differently: " + receipts : "";
    }
}
