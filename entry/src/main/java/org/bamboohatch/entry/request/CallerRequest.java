package org.bamboohatch.entry.request;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.RunOutcome;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.AgentReply.Chunk;
import org.bamboohatch.routing.WaitingRequest;

/** One admitted request from its arrival to its end. */
public final class CallerRequest {

    /** What the request is. */
    private final Description description;

    /** Takes the answer. */
    private final CallerSink sink;

    /** Whether the caller has its end. */
    private final AtomicBoolean ended = new AtomicBoolean();

    /** The attempt whose answer counts, or null. */
    private AttemptId current;

    /** The number of the next part of that attempt. */
    private long nextSequence;

    /** Answer tokens delivered to the caller. */
    private long deliveredTokens;

    /** Attempts made so far. */
    private int attempts;

    /** Time before which the request is not tried again, in milliseconds. */
    private long notBefore;

    /** Whether a target has accepted an attempt, so that it may have worked on it. */
    private boolean accepted;

    /**
     * What a request is.
     *
     * @param service the service
     * @param model the model, or null for a plain service
     * @param waiting the request as the routing decisions see it
     * @param template makes the call of each attempt
     * @param claim the identity of a non-idempotent run, if it is one
     * @param bodyHash hash of the request
     * @param keyGiven whether the caller gave the idempotency key
     * @param maximumQueued requests of the account that may wait at one entry
     */
    public record Description(
            ServiceName service,
            ModelName model,
            WaitingRequest waiting,
            CallTemplate template,
            Optional<RunKey> claim,
            String bodyHash,
            boolean keyGiven,
            int maximumQueued) {}

    /** What became of a part of the answer. */
    public enum Delivery {
        /** It was delivered. */
        DELIVERED,
        /** It was delivered and is the first of the answer. */
        FIRST,
        /** It belongs to another attempt or was delivered before. */
        DROPPED,
        /** Parts before it are lacking. */
        GAP
    }

    /**
     * Creates a request.
     *
     * @param description what the request is
     * @param sink takes the answer
     */
    public CallerRequest(Description description, CallerSink sink) {
        this.description = description;
        this.sink = sink;
    }

    /**
     * Returns the identifier.
     *
     * @return the identifier
     */
    public RequestId id() {
        return description.waiting().id();
    }

    /**
     * Returns what the request is.
     *
     * @return the description
     */
    public Description description() {
        return description;
    }

    /**
     * Returns the request as the routing decisions see it.
     *
     * @return the waiting request
     */
    public WaitingRequest waiting() {
        return description.waiting();
    }

    /**
     * Returns the time by which the request must have ended.
     *
     * @return the time in milliseconds
     */
    public long deadline() {
        return description.waiting().deadline();
    }

    /**
     * Tells whether the caller has its end.
     *
     * @return whether nothing more is to be done
     */
    public boolean isEnded() {
        return ended.get();
    }

    /**
     * Begins an attempt; parts of earlier attempts are dropped from now on.
     *
     * @param attempt the attempt
     */
    public synchronized void beginAttempt(AttemptId attempt) {
        current = attempt;
        nextSequence = 0;
        attempts++;
    }

    /** Gives the present attempt up; its parts are dropped from now on. */
    public synchronized void dropAttempt() {
        current = null;
    }

    /**
     * Tells whether an attempt is the present one.
     *
     * @param attempt the attempt
     * @return whether its answer counts
     */
    public synchronized boolean isCurrent(AttemptId attempt) {
        return attempt.equals(current);
    }

    /**
     * Returns the attempt whose answer counts.
     *
     * @return the attempt, if there is one
     */
    public synchronized Optional<AttemptId> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the number of the next part.
     *
     * @return the number
     */
    public synchronized long nextSequence() {
        return nextSequence;
    }

    /**
     * Returns the answer tokens delivered to the caller.
     *
     * @return the number of tokens
     */
    public synchronized long deliveredTokens() {
        return deliveredTokens;
    }

    /**
     * Returns the attempts made so far.
     *
     * @return the number of attempts
     */
    public synchronized int attempts() {
        return attempts;
    }

    /**
     * Returns the time before which the request is not tried again.
     *
     * @return the time in milliseconds
     */
    public synchronized long notBefore() {
        return notBefore;
    }

    /**
     * Sets the time before which the request is not tried again.
     *
     * @param time the time in milliseconds
     */
    public synchronized void waitUntil(long time) {
        notBefore = time;
    }

    /**
     * Delivers a part of the answer if it is the next one of the present attempt.
     *
     * @param chunk the part
     * @return what became of it
     */
    public synchronized Delivery deliver(Chunk chunk) {
        if (ended.get() || !chunk.attempt().equals(current) || chunk.sequence() < nextSequence) {
            return Delivery.DROPPED;
        }
        if (chunk.sequence() > nextSequence) {
            return Delivery.GAP;
        }
        nextSequence++;
        boolean first = deliveredTokens == 0;
        deliveredTokens += chunk.tokens();
        sink.part(chunk.data(), chunk.tokens());
        return first ? Delivery.FIRST : Delivery.DELIVERED;
    }

    /**
     * Ends with the whole answer of an attempt.
     *
     * @param attempt the attempt
     * @param chunks number of parts of the whole answer
     * @param status the HTTP status
     * @param contentType the media type
     * @param finishReason why an engine ended the answer
     * @return whether this was the end
     */
    public synchronized boolean complete(
            AttemptId attempt, long chunks, int status, String contentType, String finishReason) {
        Invariant.check(
                attempt.equals(current) && chunks == nextSequence,
                () -> "request " + id() + " would end with an answer that is not whole");
        boolean first = ended.compareAndSet(false, true);
        if (first) {
            sink.complete(status, contentType, finishReason);
        }
        return first;
    }

    /**
     * Ends with a recorded answer.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body
     * @return whether this was the end
     */
    public synchronized boolean completeRecorded(int status, String contentType, byte[] body) {
        boolean first = ended.compareAndSet(false, true);
        if (first) {
            sink.part(body, 0);
            sink.complete(status, contentType, "");
        }
        return first;
    }

    /** Takes note that a target has accepted an attempt. */
    public synchronized void accepted() {
        accepted = true;
    }

    /**
     * Ends with an error. A request that may be repeated is not told to have not run once a target has accepted it;
     * for others the ledger knows.
     *
     * @param refusal the error
     * @return whether this was the end
     */
    public synchronized boolean refuse(Refusal refusal) {
        boolean first = ended.compareAndSet(false, true);
        boolean mayHaveRun = accepted && description.claim().isEmpty();
        if (first) {
            boolean untrue = mayHaveRun && refusal.outcome() == RunOutcome.NOT_RUN;
            sink.refuse(untrue ? refusal.withOutcome(RunOutcome.FAILED) : refusal);
        }
        return first;
    }

    /**
     * Ends because the caller has gone away.
     *
     * @return whether this was the end
     */
    public boolean abandon() {
        return ended.compareAndSet(false, true);
    }
}
