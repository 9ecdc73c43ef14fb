package org.bamboohatch.standin.orders;

import java.util.ArrayList;
import java.util.List;

/** One order and the outcomes of its attempts as the client saw them. */
final class Order {

    /** Outcome of an attempt. */
    enum Outcome {
        /** The order ran and its answer was received. */
        DONE,
        /** The entry reported that the attempt did not run the order. */
        NOT_RUN,
        /** The order may have run, or no response was received. */
        UNKNOWN
    }

    /** The request body, which also identifies the order at the service. */
    private final String body;

    private final List<Outcome> outcomes = new ArrayList<>();

    /** Response bodies of the attempts with the outcome {@link Outcome#DONE}. */
    private final List<String> answers = new ArrayList<>();

    /** Duration of the slowest attempt, in milliseconds. */
    private double slowestMillis;

    /** Time from the first attempt to the answer, in milliseconds, negative without an answer. */
    private double millisToAnswer = -1;

    Order(String body) {
        this.body = body;
    }

    String body() {
        return body;
    }

    /**
     * Records the end of an attempt.
     *
     * @param outcome outcome of the attempt
     * @param answer response body
     * @param millis duration of the attempt, in milliseconds
     * @param sinceFirstMillis time since the first attempt, in milliseconds
     */
    synchronized void recordAttempt(Outcome outcome, String answer, double millis, double sinceFirstMillis) {
        outcomes.add(outcome);
        slowestMillis = Math.max(slowestMillis, millis);
        if (outcome == Outcome.DONE) {
            answers.add(answer);
            millisToAnswer = millisToAnswer < 0 ? sinceFirstMillis : millisToAnswer;
        }
    }

    synchronized boolean isAnswered() {
        return !answers.isEmpty();
    }

    /** Indicates whether every attempt was reported as not run. */
    synchronized boolean isReportedNotRun() {
        return outcomes.stream().allMatch(outcome -> outcome == Outcome.NOT_RUN);
    }

    synchronized double slowestMillis() {
        return slowestMillis;
    }

    /** Returns the time from the first attempt to the answer, in milliseconds, or a negative number without an answer. */
    synchronized double millisToAnswer() {
        return millisToAnswer;
    }

    /**
     * Compares the reported outcomes with the number of runs.
     *
     * @param runs number of times that the order ran, over all targets
     * @return the violation, or an empty string if there is none
     */
    synchronized String violation(long runs) {
        if (runs > 1) {
            return body + " ran " + runs + " times, outcomes " + outcomes;
        }
        if (isAnswered() && runs != 1) {
            return body + " was answered but ran " + runs + " times";
        }
        if (isReportedNotRun() && runs != 0) {
            return body + " was reported as not run but ran " + runs + " times, outcomes " + outcomes;
        }
        return answers.stream().distinct().count() > 1 ? body + " got different answers: " + answers : "";
    }
}
