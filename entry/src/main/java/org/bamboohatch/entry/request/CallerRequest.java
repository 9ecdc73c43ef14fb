package org.bamboohatch.entry.request;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.RunOutcome;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.AgentReply.Chunk;
import org.bamboohatch.protocol.message.RecordedAnswer;
import org.bamboohatch.routing.WaitingRequest;

/**
 * A caller's request from its arrival to the end of its response. It may be attempted at several targets in turn;
 * only chunks of the current attempt reach the caller. All times are monotonic, in milliseconds.
 */
public final class CallerRequest {

    private final Description description;

    private final CallerSink sink;

    private final AtomicBoolean ended = new AtomicBoolean();

    /** Attempt whose chunks are delivered, or {@code null}. */
    private AttemptId currentAttempt;

    /** Sequence number of the next chunk of the current attempt. */
    private long nextSequence;

    private long deliveredTokens;

    private int attemptCount;

    private long notBefore;

    /** Whether a target has accepted an attempt and may therefore have worked on the request. */
    private boolean accepted;

    /**
     * The immutable properties of a request.
     *
     * @param service the service that the request is for
     * @param model the model, or {@code null} for a plain service
     * @param routingView the request as the routing policy sees it
     * @param callFactory creates the call of each attempt
     * @param runKey identity of the run in the ledger, present only if the request is not idempotent
     * @param bodyHash hash that detects the reuse of an idempotency key for another request
     * @param hasCallerKey whether the caller supplied the idempotency key
     * @param maximumQueued maximum number of requests of the client account in the queue of one entry
     */
    public record Description(
            ServiceName service,
            ModelName model,
            WaitingRequest routingView,
            TargetCallFactory callFactory,
            Optional<RunKey> runKey,
            String bodyHash,
            boolean hasCallerKey,
            int maximumQueued) {}

    /** Result of the delivery of a chunk. */
    public enum Delivery {
        /** The chunk was delivered. */
        DELIVERED,
        /** The chunk was delivered and contains the first output of the response. */
        FIRST,
        /** The chunk was discarded, because it is a duplicate, of another attempt or of an ended request. */
        DROPPED,
        /** The chunk was not delivered, because chunks before it are missing. */
        GAP
    }

    /**
     * Creates a request without any attempts.
     *
     * @param description the immutable properties of the request
     * @param sink receives the response
     */
    public CallerRequest(Description description, CallerSink sink) {
        this.description = description;
        this.sink = sink;
    }

    /**
     * Returns the unique identifier of the request.
     *
     * @return the identifier
     */
    public RequestId id() {
        return description.routingView().id();
    }

    public Description description() {
        return description;
    }

    /**
     * Returns the request as the routing policy sees it.
     *
     * @return the properties that routing decisions depend on
     */
    public WaitingRequest routingView() {
        return description.routingView();
    }

    /**
     * Returns the time by which the request must have ended.
     *
     * @return the monotonic time, in milliseconds
     */
    public long deadline() {
        return description.routingView().deadline();
    }

    /**
     * Indicates whether the response has ended or the caller has disconnected.
     *
     * @return {@code true} if nothing more is sent to the caller
     */
    public boolean isEnded() {
        return ended.get();
    }

    /**
     * Begins an attempt; chunks of earlier attempts are dropped from now on. An engine continues after the tokens that were
     * delivered; any other target sends the whole response again.
     *
     * @param attempt identifier of the new attempt
     */
    public synchronized void beginAttempt(AttemptId attempt) {
        currentAttempt = attempt;
        nextSequence = 0;
        if (deliveredTokens == 0) {
            sink.discardUnsent();
        }
        attemptCount++;
    }

    /** Abandons the current attempt; its chunks are dropped from now on. */
    public synchronized void dropAttempt() {
        currentAttempt = null;
    }

    /**
     * Indicates whether an attempt is the current one.
     *
     * @param attempt identifier of the attempt
     * @return {@code true} if chunks of the attempt are delivered
     */
    public synchronized boolean isCurrent(AttemptId attempt) {
        return attempt.equals(currentAttempt);
    }

    /**
     * Returns the attempt whose chunks are delivered.
     *
     * @return the attempt, or empty while there is none
     */
    public synchronized Optional<AttemptId> currentAttempt() {
        return Optional.ofNullable(currentAttempt);
    }

    /**
     * Returns the sequence number of the next chunk of the current attempt.
     *
     * @return the sequence number, counted from zero
     */
    public synchronized long nextSequence() {
        return nextSequence;
    }

    /**
     * Returns the number of output tokens that all attempts together have delivered.
     *
     * @return the number of tokens
     */
    public synchronized long deliveredTokens() {
        return deliveredTokens;
    }

    public synchronized int attemptCount() {
        return attemptCount;
    }

    /**
     * Returns the earliest time of the next attempt.
     *
     * @return the monotonic time, in milliseconds
     */
    public synchronized long notBefore() {
        return notBefore;
    }

    /**
     * Defers the next attempt.
     *
     * @param time earliest time of the next attempt, in milliseconds
     */
    public synchronized void deferUntil(long time) {
        notBefore = time;
    }

    /**
     * Delivers a chunk if it is the next one of the current attempt.
     *
     * @param chunk the chunk
     * @return whether the chunk was delivered, and why not if it was not
     */
    public synchronized Delivery deliver(Chunk chunk) {
        if (ended.get() || !chunk.attempt().equals(currentAttempt) || chunk.sequence() < nextSequence) {
            return Delivery.DROPPED;
        }
        if (chunk.sequence() > nextSequence) {
            return Delivery.GAP;
        }
        nextSequence++;
        boolean first = deliveredTokens == 0;
        deliveredTokens += chunk.tokens();
        sink.chunk(chunk.data(), chunk.tokens());
        return first ? Delivery.FIRST : Delivery.DELIVERED;
    }

    /**
     * Ends the response successfully. All chunks of the attempt must have been delivered.
     *
     * @param attempt identifier of the attempt, which must be the current one
     * @param chunks number of chunks of the attempt
     * @param status HTTP status that the target returned
     * @param contentType media type of the response
     * @param finishReason why an engine stopped generating, or an empty string
     * @return {@code true} if this call ended the request, {@code false} if it had ended before
     */
    public synchronized boolean complete(
            AttemptId attempt, long chunks, int status, String contentType, String finishReason) {
        Invariant.check(
                attempt.equals(currentAttempt) && chunks == nextSequence,
                () -> "request " + id() + " would complete with missing chunks or after another attempt began");
        boolean endedNow = ended.compareAndSet(false, true);
        if (endedNow) {
            sink.complete(status, contentType, finishReason);
        }
        return endedNow;
    }

    /**
     * Ends the response with the answer that the ledger recorded for the run, or with an error if it lacks the body.
     *
     * @param answer the recorded answer
     * @return {@code true} if this call ended the request, {@code false} if it had ended before
     */
    public synchronized boolean completeRecorded(RecordedAnswer answer) {
        if (answer.bodyOmitted()) {
            return refuse(Refusal.notRun(
                            ErrorCode.RESPONSE_NOT_RECORDED,
                            "The request ran with status " + answer.status() + "; its response was too long to record.")
                    .withOutcome(RunOutcome.UNKNOWN));
        }
        boolean endedNow = ended.compareAndSet(false, true);
        if (endedNow) {
            sink.discardUnsent();
            sink.chunk(answer.body(), 0);
            sink.complete(answer.status(), answer.contentType(), "");
        }
        return endedNow;
    }

    /** Records that a target has accepted an attempt. */
    public synchronized void markAccepted() {
        accepted = true;
    }

    /**
     * Ends the response with an error. The outcome {@link RunOutcome#NOT_RUN} is replaced by
     * {@link RunOutcome#FAILED} for an idempotent request that a target has accepted, because that target may have
     * worked on it. For other requests the ledger knows whether they ran.
     *
     * @param refusal the error to report to the caller
     * @return {@code true} if this call ended the request, {@code false} if it had ended before
     */
    public synchronized boolean refuse(Refusal refusal) {
        boolean endedNow = ended.compareAndSet(false, true);
        boolean mayHaveRun = accepted && description.runKey().isEmpty();
        if (endedNow) {
            boolean incorrect = mayHaveRun && refusal.outcome() == RunOutcome.NOT_RUN;
            sink.refuse(incorrect ? refusal.withOutcome(RunOutcome.FAILED) : refusal);
        }
        return endedNow;
    }

    /**
     * Ends the request without a response, because the caller has disconnected.
     *
     * @return {@code true} if this call ended the request, {@code false} if it had ended before
     */
    public boolean endDisconnected() {
        return ended.compareAndSet(false, true);
    }
}
