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
 * One attempt at one target. Parts of the answer go to the caller on the network thread that brings them; all else
 * is done on the dispatcher's thread.
 */
final class Attempt implements StreamListener {

    /** When a caller whose target was lost should come back. */
    private static final Duration TARGET_LOST_RETRY = Duration.ofSeconds(1);

    /** Fresh connections that are tried before the target is given up. */
    private static final int MAX_RESUMES = 3;

    /** The dispatcher. */
    private final Dispatcher dispatcher;

    /** The request. */
    private final CallerRequest request;

    /** Identifier of the attempt. */
    private final AttemptId id;

    /** The target. */
    private final TargetConnection target;

    /** The pool. */
    private final ServicePool pool;

    /** Fresh connections tried so far. */
    private int resumes;

    /** Time of the first part of the answer, in milliseconds. */
    private volatile long firstPartAt;

    /**
     * Creates an attempt.
     *
     * @param dispatcher the dispatcher
     * @param request the request
     * @param id identifier of the attempt
     * @param target the target
     * @param pool the pool
     */
    Attempt(Dispatcher dispatcher, CallerRequest request, AttemptId id, TargetConnection target, ServicePool pool) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.id = id;
        this.target = target;
        this.pool = pool;
    }

    /**
     * Sends the request to the target.
     *
     * @param dispatch the request
     */
    void begin(Dispatch dispatch) {
        dispatcher.directory().runs(request, target);
        target.link().connect().whenComplete((connection, problem) -> {
            if (problem == null) {
                connection.open(dispatch, this);
            } else {
                dispatcher.post(() -> neverSent(problem.getMessage()));
            }
        });
    }

    @Override
    public void onMessage(Message message, boolean end) {
        if (message instanceof Chunk chunk) {
            deliver(chunk);
        } else {
            dispatcher.post(() -> take(message));
        }
    }

    @Override
    public void onLost(String reason) {
        dispatcher.post(() -> lost(reason));
    }

    /**
     * Delivers a part of the answer.
     *
     * @param chunk the part
     */
    private void deliver(Chunk chunk) {
        CallerRequest.Delivery delivery = request.deliver(chunk);
        if (delivery == CallerRequest.Delivery.GAP) {
            dispatcher.post(() -> lost("a part of the answer is lacking"));
        } else if (chunk.sequence() == 0 && delivery != CallerRequest.Delivery.DROPPED) {
            long now = ConfigurationStore.now();
            firstPartAt = now;
            dispatcher.post(() -> target.firstToken(id));
            if (delivery == CallerRequest.Delivery.FIRST) {
                dispatcher.events().firstToken(request, now);
            }
        }
    }

    /**
     * Takes a reply other than a part.
     *
     * @param message the reply
     */
    private void take(Message message) {
        if (message instanceof Accepted accepted) {
            target.accepted(id, accepted.load());
            request.accepted();
            return;
        }
        if (message instanceof Refused refused) {
            target.report(refused.load());
        }
        if (!request.isCurrent(id) || request.isEnded()) {
            endAtTarget();
            return;
        }
        if (message instanceof Refused refused) {
            refused(refused);
        } else if (message instanceof Completed completed) {
            completed(completed);
        } else if (message instanceof Failed failed) {
            failed(failed);
        } else if (message instanceof Claimed claimed) {
            claimed(claimed);
        }
    }

    /** Takes note that the target no longer runs the attempt. */
    private void endAtTarget() {
        target.ended(id);
        dispatcher.directory().ended(request);
    }

    /**
     * Goes on after a refusal.
     *
     * @param refused the refusal
     */
    private void refused(Refused refused) {
        endAtTarget();
        if (refused.reason().isNotRun() || request.description().claim().isEmpty()) {
            dispatcher.retry(
                    pool,
                    request,
                    RetryReason.REFUSED,
                    Refusal.notRun(ErrorCode.NO_TARGET, "No target could take the request.")
                            .withRetryAfter(TARGET_LOST_RETRY));
        } else {
            dispatcher.settle(request, pool, ConfigurationStore.now());
        }
    }

    /**
     * Ends the request with a whole answer, or asks for what is lacking.
     *
     * @param completed the end of the answer
     */
    private void completed(Completed completed) {
        if (completed.chunks() != request.nextSequence()) {
            lost("the end came before the whole answer");
            return;
        }
        target.succeeded();
        endAtTarget();
        pool.budget(pool.budget().earn());
        pool.observeDecode(ConfigurationStore.now() - firstPartAt, completed.chunks() - 1);
        boolean first = request.complete(
                id, completed.chunks(), completed.status(), completed.contentType(), completed.finishReason());
        if (first) {
            dispatcher.finished(request, "completed");
        }
    }

    /**
     * Goes on after a failure at the target.
     *
     * @param failed the failure
     */
    private void failed(Failed failed) {
        target.failed(ConfigurationStore.now());
        endAtTarget();
        Refusal failure = Refusal.notRun(ErrorCode.TARGET_FAILED, "The target failed: " + failed.sentence())
                .withOutcome(failed.outcome())
                .withRetryAfter(TARGET_LOST_RETRY);
        boolean claim = request.description().claim().isPresent();
        if (!claim || failed.outcome() == RunOutcome.NOT_RUN) {
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
     * Goes on after the ledger has ruled a run out at this target.
     *
     * @param claimed the ledger's decision
     */
    private void claimed(Claimed claimed) {
        endAtTarget();
        switch (claimed.decision().state()) {
            case FINISHED -> {
                var answer = claimed.decision().answer();
                if (request.completeRecorded(answer.status(), answer.contentType(), answer.body())) {
                    dispatcher.finished(request, "replayed");
                }
            }
            case BEGUN -> dispatcher.awaitOther(request, pool);
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
     * Goes on after the request could not be sent.
     *
     * @param reason the reason
     */
    private void neverSent(String reason) {
        target.failed(ConfigurationStore.now());
        target.connected(false);
        endAtTarget();
        if (request.isCurrent(id)) {
            dispatcher.retry(
                    pool,
                    request,
                    RetryReason.RULED_OUT,
                    Refusal.notRun(ErrorCode.NO_TARGET, "The target could not be reached: " + reason)
                            .withRetryAfter(TARGET_LOST_RETRY));
        }
    }

    /**
     * Asks for the rest of the answer on a fresh connection.
     *
     * @param reason why the connection is lost
     */
    private void lost(String reason) {
        if (!request.isCurrent(id) || request.isEnded()) {
            endAtTarget();
            return;
        }
        resumes++;
        if (resumes > MAX_RESUMES) {
            gone(reason);
            return;
        }
        dispatcher.events().record(request, "resume", reason);
        target.link().connect().whenComplete((connection, problem) -> {
            if (problem == null) {
                connection.open(new Resume(id, request.nextSequence()), this);
            } else {
                dispatcher.post(() -> gone(problem.getMessage()));
            }
        });
    }

    /**
     * Gives the target up.
     *
     * @param reason the reason
     */
    private void gone(String reason) {
        target.failed(ConfigurationStore.now());
        endAtTarget();
        if (!request.isCurrent(id) || request.isEnded()) {
            return;
        }
        if (request.description().claim().isPresent()) {
            dispatcher.settle(request, pool, ConfigurationStore.now());
        } else {
            dispatcher.retry(
                    pool,
                    request,
                    RetryReason.FAILED,
                    Refusal.notRun(ErrorCode.TARGET_FAILED, "The target was lost: " + reason)
                            .withOutcome(RunOutcome.FAILED)
                            .withRetryAfter(TARGET_LOST_RETRY));
        }
    }
}
