package org.bamboohatch.entry.dispatch;

import java.time.Duration;

import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.RunOutcome;
import org.bamboohatch.protocol.message.AgentReply.Accepted;
import org.bamboohatch.protocol.message.AgentReply.Chunk;
import org.bamboohatch.protocol.message.AgentReply.Claimed;
import org.bamboohatch.protocol.message.AgentReply.Completed;
import org.bamboohatch.protocol.message.AgentReply.Failed;
import org.bamboohatch.protocol.message.AgentReply.Refused;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.AgentRequest.Resume;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.StreamListener;

/**
 * An attempt to run a request at one target. Chunks are delivered to the caller on the network thread that receives
 * them; all other work is done on the dispatcher's thread.
 */
final class Attempt implements StreamListener {

    /** Time after which a rejected caller should retry. */
    private static final Duration CALLER_RETRY_DELAY = Duration.ofSeconds(1);

    /** Number of times that the stream is resumed on a new connection before the target counts as lost. */
    private static final int MAX_RESUMES = 3;

    private final Dispatcher dispatcher;

    private final CallerRequest request;

    private final AttemptId id;

    private final TargetConnection target;

    private final ServicePool pool;

    private int resumes;

    /** Monotonic time at which the first chunk was delivered, in milliseconds. */
    private volatile long firstChunkAt;

    Attempt(Dispatcher dispatcher, CallerRequest request, AttemptId id, TargetConnection target, ServicePool pool) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.id = id;
        this.target = target;
        this.pool = pool;
    }

    void start(Dispatch dispatch) {
        dispatcher.directory().assign(request, target);
        target.link().connect().whenComplete((connection, failure) -> {
            if (failure == null) {
                connection.openStream(dispatch, this);
            } else {
                dispatcher.post(() -> onConnectFailed(failure.getMessage()));
            }
        });
    }

    @Override
    public void onMessage(Message message, boolean end) {
        if (message instanceof Chunk chunk) {
            deliver(chunk);
        } else {
            dispatcher.post(() -> handleReply(message));
        }
    }

    @Override
    public void onLost(String reason) {
        dispatcher.post(() -> resume(reason));
    }

    private void deliver(Chunk chunk) {
        CallerRequest.Delivery delivery = request.deliver(chunk);
        if (delivery == CallerRequest.Delivery.GAP) {
            dispatcher.post(() -> resume("a part of the answer is lacking"));
        } else if (chunk.sequence() == 0 && delivery != CallerRequest.Delivery.DROPPED) {
            long now = ConfigurationStore.now();
            firstChunkAt = now;
            dispatcher.post(() -> target.firstTokenReceived(id));
            if (delivery == CallerRequest.Delivery.FIRST) {
                dispatcher.events().recordFirstToken(request, now);
            }
        }
    }

    /**
     * Handles a reply other than a chunk. Reported loads are used even if the attempt is no longer current.
     *
     * @param message the reply of the agent
     */
    private void handleReply(Message message) {
        if (message instanceof Accepted accepted) {
            target.runAccepted(id, accepted.load());
            request.markAccepted();
            return;
        }
        if (message instanceof Refused refused) {
            target.updateLoad(refused.load());
        }
        if (!request.isCurrent(id) || request.isEnded()) {
            releaseTarget();
            return;
        }
        if (message instanceof Refused refused) {
            onRefused(refused);
        } else if (message instanceof Completed completed) {
            onCompleted(completed);
        } else if (message instanceof Failed failed) {
            onFailed(failed);
        } else if (message instanceof Claimed claimed) {
            onClaimed(claimed);
        }
    }

    /** Records that the attempt no longer occupies the target. */
    private void releaseTarget() {
        target.runEnded(id);
        dispatcher.directory().unassign(request);
    }

    /**
     * Handles a refusal by the agent. The ledger is consulted if a non-idempotent request may have run in spite of it.
     *
     * @param refused the refusal, whose reason indicates whether the attempt certainly did not run
     */
    private void onRefused(Refused refused) {
        releaseTarget();
        if (refused.reason().isNotRun() || request.description().runKey().isEmpty()) {
            dispatcher.retry(
                    pool,
                    request,
                    RetryReason.REFUSED,
                    Refusal.notRun(ErrorCode.NO_TARGET, "No target could take the request.")
                            .withRetryAfter(CALLER_RETRY_DELAY));
        } else {
            dispatcher.settle(request, pool, ConfigurationStore.now());
        }
    }

    /**
     * Completes the request, or resumes the stream if chunks are missing.
     *
     * @param completed the end of the stream, with the number of its chunks
     */
    private void onCompleted(Completed completed) {
        if (completed.chunks() != request.nextSequence()) {
            resume("the end came before the whole answer");
            return;
        }
        target.recordSuccess();
        releaseTarget();
        pool.retryBudget(pool.retryBudget().earn());
        pool.observeDecode(ConfigurationStore.now() - firstChunkAt, completed.chunks() - 1);
        boolean endedNow = request.complete(
                id, completed.chunks(), completed.status(), completed.contentType(), completed.finishReason());
        if (endedNow) {
            dispatcher.finish(request, "completed");
        }
    }

    private void onFailed(Failed failed) {
        target.recordFailure(ConfigurationStore.now());
        releaseTarget();
        Refusal failure = Refusal.notRun(ErrorCode.TARGET_FAILED, "The target failed: " + failed.sentence())
                .withOutcome(failed.outcome())
                .withRetryAfter(CALLER_RETRY_DELAY);
        boolean nonIdempotent = request.description().runKey().isPresent();
        if (!nonIdempotent || failed.outcome() == RunOutcome.NOT_RUN) {
            dispatcher.retry(
                    pool,
                    request,
                    failed.outcome() == RunOutcome.NOT_RUN ? RetryReason.RULED_OUT : RetryReason.FAILED,
                    failure);
        } else {
            dispatcher.settle(request, pool, ConfigurationStore.now());
        }
    }

    /**
     * Handles a decision of the ledger that the attempt must not run at the target.
     *
     * @param claimed the decision, with the recorded answer if the run has finished
     */
    private void onClaimed(Claimed claimed) {
        releaseTarget();
        switch (claimed.decision().state()) {
            case FINISHED -> {
                if (request.completeRecorded(claimed.decision().answer())) {
                    dispatcher.finish(request, "replayed");
                }
            }
            case BEGUN -> dispatcher.awaitOtherAttempt(request, pool);
            case BODY_DIFFERS ->
                dispatcher.refuse(
                        request,
                        Refusal.notRun(ErrorCode.KEY_REUSED, "The idempotency key was used with another request."));
            case FULL ->
                dispatcher.refuse(
                        request,
                        Refusal.notRun(ErrorCode.OVERLOADED, "The ledger takes no more records.")
                                .withRetryAfter(Duration.ofMinutes(1)));
            default ->
                dispatcher.retry(
                        pool,
                        request,
                        RetryReason.RULED_OUT,
                        Refusal.notRun(ErrorCode.TARGET_FAILED, "The attempt was abandoned."));
        }
    }

    /**
     * Retries the request after a failed connection attempt. The request was never sent, so that it did not run.
     *
     * @param reason why the connection failed
     */
    private void onConnectFailed(String reason) {
        target.recordFailure(ConfigurationStore.now());
        target.setConnected(false);
        releaseTarget();
        if (request.isCurrent(id)) {
            dispatcher.retry(
                    pool,
                    request,
                    RetryReason.RULED_OUT,
                    Refusal.notRun(ErrorCode.NO_TARGET, "The target could not be reached: " + reason)
                            .withRetryAfter(CALLER_RETRY_DELAY));
        }
    }

    /**
     * Resumes the stream with the first missing chunk on a new connection. Treats the target as lost after
     * {@link #MAX_RESUMES} resumptions.
     *
     * @param reason why the stream was interrupted
     */
    private void resume(String reason) {
        if (!request.isCurrent(id) || request.isEnded()) {
            releaseTarget();
            return;
        }
        resumes++;
        if (resumes > MAX_RESUMES) {
            onTargetLost(reason);
            return;
        }
        dispatcher.events().record(request, "resume", reason);
        target.link().connect().whenComplete((connection, failure) -> {
            if (failure == null) {
                connection.openStream(new Resume(id, request.nextSequence()), this);
            } else {
                dispatcher.post(() -> onTargetLost(failure.getMessage()));
            }
        });
    }

    private void onTargetLost(String reason) {
        target.recordFailure(ConfigurationStore.now());
        releaseTarget();
        if (!request.isCurrent(id) || request.isEnded()) {
            return;
        }
        if (request.description().runKey().isPresent()) {
            dispatcher.settle(request, pool, ConfigurationStore.now());
        } else {
            dispatcher.retry(
                    pool,
                    request,
                    RetryReason.FAILED,
                    Refusal.notRun(ErrorCode.TARGET_FAILED, "The target was lost: " + reason)
                            .withOutcome(RunOutcome.FAILED)
                            .withRetryAfter(CALLER_RETRY_DELAY));
        }
    }
}
