package org.bamboohatch.agent.run;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.agent.AgentSettings;
import org.bamboohatch.agent.capacity.CapacityState;
import org.bamboohatch.agent.capacity.Reservation;
import org.bamboohatch.agent.driver.RunListener;
import org.bamboohatch.agent.driver.TargetDriver;
import org.bamboohatch.agent.driver.TargetState;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.outcome.RunOutcome;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.message.AgentReply;
import org.bamboohatch.protocol.message.AgentReply.RefusalReason;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.RunState;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.FinishRun;
import org.bamboohatch.protocol.message.RecordedAnswer;
import org.bamboohatch.protocol.transport.Exchange;

/**
 * Runs attempts at the target. An attempt reserves capacity, claims its run in the ledger if it is non-idempotent, sends
 * the request to the target, records the answer of a claimed run and releases its capacity.
 */
@Singleton
public final class AttemptRunner {

    private static final Logger LOGGER = LogManager.getLogger(AttemptRunner.class);

    /**
     * Time for which an attempt continues without a connection to its entry, and for which an ended attempt can be
     * resumed, in milliseconds.
     */
    private static final long RESUME_TIMEOUT_MS = 3_000;

    /** Timeout of recording an answer, or the release of a claim, in the ledger. */
    private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(30);

    private static final long NANOS_PER_MS = 1_000_000;

    private final TargetDriver.Target target;

    private final ControlCalls control;

    private final Timeline timeline;

    /** Capacity of the target with the reservations of the attempts. */
    private final AtomicReference<CapacityState> capacity;

    /** Running attempts, and ended ones that can still be resumed. */
    private final Map<AttemptId, RunningAttempt> attempts = new ConcurrentHashMap<>();

    /** Number of answers and released claims that are being recorded in the ledger. */
    private final AtomicInteger pendingRecords = new AtomicInteger();

    /**
     * Creates a runner without attempts.
     *
     * @param settings settings of the agent, which contain the capacity of the target
     * @param target the target to run attempts at
     * @param control client of the control processes, which keep the ledger
     * @param timeline timeline of the process, on which runs are recorded
     */
    @Inject
    public AttemptRunner(AgentSettings settings, TargetDriver.Target target, ControlCalls control, Timeline timeline) {
        this.target = target;
        this.control = control;
        this.timeline = timeline;
        this.capacity = new AtomicReference<>(CapacityState.empty(settings.memoryTokens(), settings.maximumRuns()));
    }

    /**
     * Returns the time of the monotonic clock.
     *
     * @return the time in milliseconds, with an arbitrary origin
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Returns the capacity of the target with the reservations of the attempts.
     *
     * @return an immutable snapshot
     */
    public CapacityState capacity() {
        return capacity.get();
    }

    /**
     * Updates the capacity atomically.
     *
     * @param change returns the new state for the current one; may be called repeatedly and must have no side effects
     * @return the new state
     */
    public CapacityState updateCapacity(UnaryOperator<CapacityState> change) {
        return capacity.updateAndGet(change);
    }

    /**
     * Indicates whether no attempt is running and nothing is being recorded in the ledger.
     *
     * @return {@code true} if the agent may stop
     */
    public boolean isIdle() {
        return pendingRecords.get() == 0 && attempts.values().stream().noneMatch(RunningAttempt::isRunning);
    }

    /**
     * Runs a dispatched request if there is capacity. Refuses the dispatch of an attempt that is known already, so that a
     * duplicate does not run.
     *
     * @param dispatch the dispatched request
     * @param exchange stream on which replies are sent
     * @param revision the configuration revision that the agent has applied
     */
    public void run(Dispatch dispatch, Exchange exchange, long revision) {
        RunningAttempt attempt = new RunningAttempt(dispatch, exchange, now());
        boolean engine = capacity.get().memoryTokens() > 0 && dispatch.model() != null;
        long memory = engine ? dispatch.promptTokens() + dispatch.outputTokens() : 0;
        Reservation reservation = new Reservation(memory, dispatch.promptTokens(), dispatch.priority(), engine);
        boolean isNew = attempts.putIfAbsent(dispatch.attempt(), attempt) == null;
        Optional<RefusalReason> refusal =
                isNew ? reserve(dispatch.attempt(), reservation) : Optional.of(RefusalReason.FULL);
        if (refusal.isPresent()) {
            attempts.remove(dispatch.attempt(), attempt);
            exchange.end(new AgentReply.Refused(
                    dispatch.attempt(), refusal.get(), capacity.get().load(), revision));
            return;
        }
        attempt.reply(new AgentReply.Accepted(dispatch.attempt(), capacity.get().load()));
        if (dispatch.claim() == null) {
            runAtTarget(attempt, "");
        } else {
            claim(attempt);
        }
    }

    /**
     * Resumes the replies of an attempt on another stream.
     *
     * @param id identifier of the attempt
     * @param fromSequence sequence number of the first chunk to send
     * @param exchange stream on which replies are sent from now on
     */
    public void resume(AttemptId id, long fromSequence, Exchange exchange) {
        RunningAttempt attempt = attempts.get(id);
        if (attempt == null) {
            exchange.end(new AgentReply.Refused(
                    id, RefusalReason.UNKNOWN_ATTEMPT, capacity.get().load(), 0));
        } else {
            attempt.resume(exchange, fromSequence);
        }
    }

    /**
     * Cancels an attempt. A claimed run continues because its answer must be recorded.
     *
     * @param id identifier of the attempt
     */
    public void cancel(AttemptId id) {
        RunningAttempt attempt = attempts.get(id);
        if (attempt != null && attempt.isRunning() && attempt.dispatch().claim() == null) {
            abort(attempt, "cancelled by the entry");
        }
    }

    /**
     * Reconciles the attempts with the runs that the target reports. Aborts attempts that are past their deadline or
     * whose stream has been closed for too long, and cancels runs at the target that no running attempt owns.
     *
     * @param state the reported state of the target
     */
    public void reconcile(TargetState state) {
        long now = now();
        for (RunningAttempt attempt : attempts.values()) {
            if (attempt.shouldAbort(now, RESUME_TIMEOUT_MS)) {
                abort(attempt, "its time is over or nobody listens");
            }
        }
        attempts.values().removeIf(attempt -> attempt.isExpired(now, RESUME_TIMEOUT_MS));
        for (String stream : state.streams()) {
            RunningAttempt owner = attempts.get(new AttemptId(stream));
            if (owner == null || !owner.isRunning()) {
                LOGGER.info("runs: cancelling {} at the target because no running attempt owns it", stream);
                target.cancel(stream);
            }
        }
        releaseEndedAttempts(state);
    }

    /**
     * Releases the capacity of ended attempts whose runs the target no longer reports.
     *
     * @param state the reported state of the target
     */
    private void releaseEndedAttempts(TargetState state) {
        for (AttemptId reserved : capacity.get().reservations().keySet()) {
            RunningAttempt attempt = attempts.get(reserved);
            boolean ended = attempt == null || !attempt.isRunning();
            if (ended && !state.streams().contains(reserved.value())) {
                updateCapacity(current -> current.release(reserved));
            }
        }
    }

    /**
     * Ends an attempt before its answer is complete. Its capacity stays reserved until the target no longer reports the
     * run.
     *
     * @param attempt the attempt to end
     * @param sentence why it is ended, sent to the entry
     */
    private void abort(RunningAttempt attempt, String sentence) {
        if (attempt.markCancelled()) {
            target.cancel(attempt.id().value());
        }
        RunOutcome outcome = attempt.dispatch().claim() == null ? RunOutcome.FAILED : RunOutcome.UNKNOWN;
        attempt.end(new AgentReply.Failed(attempt.id(), outcome, sentence), now());
    }

    /**
     * Reserves capacity for an attempt.
     *
     * @param attempt identifier of the attempt
     * @param reservation the capacity that it needs
     * @return the reason for which nothing was reserved, or empty
     */
    private Optional<RefusalReason> reserve(AttemptId attempt, Reservation reservation) {
        while (true) {
            CapacityState current = capacity.get();
            Result<CapacityState, RefusalReason> result = current.reserve(attempt, reservation);
            if (result instanceof Result.Failure<CapacityState, RefusalReason> failure) {
                return Optional.of(failure.problem());
            }
            CapacityState changed = ((Result.Success<CapacityState, RefusalReason>) result).value();
            if (capacity.compareAndSet(current, changed)) {
                return Optional.empty();
            }
        }
    }

    /**
     * Claims the run of an attempt in the ledger and starts it only if the claim is granted.
     *
     * @param attempt the attempt, which must be non-idempotent
     */
    private void claim(RunningAttempt attempt) {
        Dispatch dispatch = attempt.dispatch();
        String nonce = UUID.randomUUID().toString();
        BeginRun begin = new BeginRun(
                dispatch.claim().key(),
                attempt.id(),
                nonce,
                dispatch.claim().bodyHash(),
                dispatch.claim().attemptTime());
        control.call(begin, Duration.ofMillis(dispatch.remainingMillis())).thenAccept(reply -> {
            if (reply instanceof ControlReply.Run run && run.state() == RunState.GRANTED) {
                runAtTarget(attempt, nonce);
            } else if (reply instanceof ControlReply.Run run) {
                endWithoutRun(attempt, new AgentReply.Claimed(attempt.id(), run));
            } else {
                releaseClaim(attempt, nonce);
                endWithoutRun(
                        attempt,
                        new AgentReply.Refused(
                                attempt.id(),
                                RefusalReason.LEDGER_UNREACHABLE,
                                capacity.get().load(),
                                0));
            }
        });
    }

    /**
     * Releases a claim that was not used, or that is undecided, by abandoning its attempt in the ledger.
     *
     * @param attempt the attempt, which must not have run and must never run
     * @param nonce nonce of the claim
     */
    private void releaseClaim(RunningAttempt attempt, String nonce) {
        pendingRecords.incrementAndGet();
        var claim = attempt.dispatch().claim();
        AbandonRun abandon = new AbandonRun(claim.key(), attempt.id(), nonce, claim.attemptTime());
        control.call(abandon, RECORD_TIMEOUT).whenComplete((reply, failure) -> pendingRecords.decrementAndGet());
    }

    /**
     * Releases the capacity of an attempt that was not run at this target, and ends it.
     *
     * @param attempt the attempt to end
     * @param message the last reply
     */
    private void endWithoutRun(RunningAttempt attempt, AgentReply message) {
        updateCapacity(current -> current.release(attempt.id()));
        attempt.end(message, now());
    }

    /**
     * Starts the run of an attempt at the target, unless the attempt has ended while its claim was being decided.
     *
     * @param attempt the attempt to run
     * @param nonce nonce of the claim, or an empty string for an idempotent request
     */
    private void runAtTarget(RunningAttempt attempt, String nonce) {
        if (!attempt.isRunning()) {
            updateCapacity(current -> current.release(attempt.id()));
            if (!nonce.isEmpty()) {
                releaseClaim(attempt, nonce);
            }
            return;
        }
        timeline.record(
                attempt.dispatch().request().value(), "run", attempt.id().value(), System.currentTimeMillis());
        target.run(attempt.dispatch(), new AttemptListener(attempt, nonce));
    }

    /**
     * Records the answer of a claimed run in the ledger. The body is omitted if it exceeds the maximum length.
     *
     * @param attempt the attempt that ran
     * @param nonce nonce of the claim
     * @param status HTTP status of the answer
     * @param contentType media type of the answer
     */
    private void recordAnswer(RunningAttempt attempt, String nonce, int status, String contentType) {
        pendingRecords.incrementAndGet();
        var key = attempt.dispatch().claim().key();
        FinishRun finish =
                new FinishRun(key, attempt.id(), nonce, new RecordedAnswer(status, contentType, attempt.answer()));
        control.call(finish, RECORD_TIMEOUT).whenComplete((reply, failure) -> {
            pendingRecords.decrementAndGet();
            if (!(reply instanceof ControlReply.Run run) || run.state() != RunState.FINISHED) {
                LOGGER.error("runs: answer of {} was not recorded in the ledger: {}", attempt.id(), reply);
            }
        });
    }

    /** Forwards the answer of an attempt to its entry, and settles its claim and reservation when it ends. */
    private final class AttemptListener implements RunListener {

        private final RunningAttempt attempt;

        /** Nonce of the claim, or an empty string for an idempotent request. */
        private final String nonce;

        AttemptListener(RunningAttempt attempt, String nonce) {
            this.attempt = attempt;
            this.nonce = nonce;
        }

        @Override
        public void onData(byte[] data, int tokens) {
            if (attempt.addChunk(data, tokens)) {
                updateCapacity(current -> current.withFirstToken(attempt.id()));
            }
        }

        @Override
        public void onEnd(int status, String contentType, String finishReason) {
            if (!nonce.isEmpty()) {
                recordAnswer(attempt, nonce, status, contentType);
            }
            updateCapacity(current -> current.release(attempt.id()));
            attempt.end(
                    new AgentReply.Completed(attempt.id(), attempt.chunkCount(), status, contentType, finishReason),
                    now());
        }

        @Override
        public void onFailure(boolean started, String sentence) {
            boolean claimed = !nonce.isEmpty();
            if (claimed && !started) {
                releaseClaim(attempt, nonce);
            }
            RunOutcome outcome = started ? RunOutcome.FAILED : RunOutcome.NOT_RUN;
            if (started && claimed) {
                outcome = RunOutcome.UNKNOWN;
            }
            // An engine may still be running the request; reconcile releases the capacity once it is not.
            if (!started || !attempt.dispatch().call().path().startsWith("/v1/")) {
                updateCapacity(current -> current.release(attempt.id()));
            }
            attempt.end(new AgentReply.Failed(attempt.id(), outcome, sentence), now());
        }
    }
}
