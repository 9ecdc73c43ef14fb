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
import org.bamboohatch.agent.capacity.CapacityBook;
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

/** Runs attempts at the target: reserves, claims, runs, records, releases. */
@Singleton
public final class AttemptRunner {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(AttemptRunner.class);

    /** Time for which a lost listener may come back, and an ended attempt may be asked for, in milliseconds. */
    private static final long RESUME_PATIENCE_MS = 3_000;

    /** Time for recording an answer. */
    private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(30);

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MS = 1_000_000;

    /** The target. */
    private final TargetDriver.Target target;

    /** The control processes. */
    private final ControlCalls control;

    /** The time line of the process. */
    private final Timeline timeline;

    /** The capacity and who holds it. */
    private final AtomicReference<CapacityBook> book;

    /** The attempts, also those that ended a moment ago. */
    private final Map<AttemptId, RunningAttempt> attempts = new ConcurrentHashMap<>();

    /** Answers that are being recorded. */
    private final AtomicInteger recording = new AtomicInteger();

    /**
     * Creates a runner.
     *
     * @param settings the settings
     * @param target the target
     * @param control the control processes
     * @param timeline the time line of the process
     */
    @Inject
    public AttemptRunner(AgentSettings settings, TargetDriver.Target target, ControlCalls control, Timeline timeline) {
        this.target = target;
        this.control = control;
        this.timeline = timeline;
        this.book = new AtomicReference<>(CapacityBook.empty(settings.memoryTokens(), settings.maximumRuns()));
    }

    /**
     * Returns the present time of the agent's monotonic clock.
     *
     * @return the time in milliseconds
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Returns the capacity and who holds it.
     *
     * @return the present book
     */
    public CapacityBook book() {
        return book.get();
    }

    /**
     * Changes the capacity.
     *
     * @param change the change
     * @return the new book
     */
    public CapacityBook update(UnaryOperator<CapacityBook> change) {
        return book.updateAndGet(change);
    }

    /**
     * Tells whether nothing runs and nothing is being recorded.
     *
     * @return whether the agent may stop
     */
    public boolean isIdle() {
        return recording.get() == 0 && attempts.values().stream().noneMatch(RunningAttempt::isRunning);
    }

    /**
     * Runs a dispatched request if there is capacity.
     *
     * @param dispatch the request
     * @param exchange takes the replies
     * @param revision the configuration revision that the agent applies
     */
    public void run(Dispatch dispatch, Exchange exchange, long revision) {
        RunningAttempt attempt = new RunningAttempt(dispatch, exchange, now());
        boolean engine = book.get().memoryTokens() > 0 && dispatch.model() != null;
        long memory = engine ? dispatch.promptTokens() + dispatch.outputTokens() : 0;
        Reservation reservation = new Reservation(memory, dispatch.promptTokens(), dispatch.priority(), engine);
        boolean isNew = attempts.putIfAbsent(dispatch.attempt(), attempt) == null;
        Optional<RefusalReason> refusal =
                isNew ? reserve(dispatch.attempt(), reservation) : Optional.of(RefusalReason.FULL);
        if (refusal.isPresent()) {
            attempts.remove(dispatch.attempt(), attempt);
            exchange.end(new AgentReply.Refused(
                    dispatch.attempt(), refusal.get(), book.get().load(), revision));
            return;
        }
        attempt.tell(new AgentReply.Accepted(dispatch.attempt(), book.get().load()));
        if (dispatch.claim() == null) {
            runAtTarget(attempt, "");
        } else {
            claim(attempt);
        }
    }

    /**
     * Goes on with an attempt on another connection.
     *
     * @param id the attempt
     * @param from number of the first part that is lacking
     * @param exchange takes the replies
     */
    public void resume(AttemptId id, long from, Exchange exchange) {
        RunningAttempt attempt = attempts.get(id);
        if (attempt == null) {
            exchange.end(new AgentReply.Refused(
                    id, RefusalReason.UNKNOWN_ATTEMPT, book.get().load(), 0));
        } else {
            attempt.resume(exchange, from);
        }
    }

    /**
     * Cancels an attempt; a claimed run goes on, because its end must be recorded.
     *
     * @param id the attempt
     */
    public void cancel(AttemptId id) {
        RunningAttempt attempt = attempts.get(id);
        if (attempt != null && attempt.isRunning() && attempt.dispatch().claim() == null) {
            abort(attempt, "cancelled by the entry");
        }
    }

    /**
     * Compares the target's runs with the owned ones: ends what nobody owns and what is overdue.
     *
     * @param state what the target reports
     */
    public void reconcile(TargetState state) {
        long now = now();
        for (RunningAttempt attempt : attempts.values()) {
            if (attempt.isOverdue(now, RESUME_PATIENCE_MS)) {
                abort(attempt, "its time is over or nobody listens");
            }
        }
        attempts.values().removeIf(attempt -> attempt.isForgettable(now, RESUME_PATIENCE_MS));
        for (String stream : state.streams()) {
            RunningAttempt owner = attempts.get(new AttemptId(stream));
            if (owner == null || !owner.isRunning()) {
                LOGGER.info("runs: cancels {} at the target, nobody owns it", stream);
                target.cancel(stream);
            }
        }
        releaseEnded(state);
    }

    /**
     * Releases the capacity of attempts that were aborted and are gone from the target.
     *
     * @param state what the target reports
     */
    private void releaseEnded(TargetState state) {
        for (AttemptId held : book.get().reservations().keySet()) {
            RunningAttempt attempt = attempts.get(held);
            boolean over = attempt == null || !attempt.isRunning();
            if (over && !state.streams().contains(held.value())) {
                update(current -> current.release(held));
            }
        }
    }

    /**
     * Ends an attempt early; its capacity is released when the target no longer runs it.
     *
     * @param attempt the attempt
     * @param sentence the reason
     */
    private void abort(RunningAttempt attempt, String sentence) {
        if (attempt.markCancelled()) {
            target.cancel(attempt.id().value());
        }
        RunOutcome outcome = attempt.dispatch().claim() == null ? RunOutcome.FAILED : RunOutcome.UNKNOWN;
        attempt.end(new AgentReply.Failed(attempt.id(), outcome, sentence), now());
    }

    /**
     * Reserves capacity.
     *
     * @param attempt the attempt
     * @param reservation what it needs
     * @return why there is no capacity, or nothing
     */
    private Optional<RefusalReason> reserve(AttemptId attempt, Reservation reservation) {
        while (true) {
            CapacityBook current = book.get();
            Result<CapacityBook, RefusalReason> result = current.reserve(attempt, reservation);
            if (result instanceof Result.Failure<CapacityBook, RefusalReason> failure) {
                return Optional.of(failure.problem());
            }
            CapacityBook changed = ((Result.Success<CapacityBook, RefusalReason>) result).value();
            if (book.compareAndSet(current, changed)) {
                return Optional.empty();
            }
        }
    }

    /**
     * Claims the run in the ledger and runs it only if the claim is granted.
     *
     * @param attempt the attempt
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
                giveBack(attempt, nonce);
                endWithoutRun(
                        attempt,
                        new AgentReply.Refused(
                                attempt.id(),
                                RefusalReason.LEDGER_UNREACHABLE,
                                book.get().load(),
                                0));
            }
        });
    }

    /**
     * Gives a claim back that was not used.
     *
     * @param attempt the attempt, which certainly did not run and never will
     * @param nonce the nonce of the claim
     */
    private void giveBack(RunningAttempt attempt, String nonce) {
        recording.incrementAndGet();
        var claim = attempt.dispatch().claim();
        AbandonRun abandon = new AbandonRun(claim.key(), attempt.id(), nonce, claim.attemptTime());
        control.call(abandon, RECORD_TIMEOUT).whenComplete((reply, problem) -> recording.decrementAndGet());
    }

    /**
     * Ends an attempt that did not run here.
     *
     * @param attempt the attempt
     * @param message the last message
     */
    private void endWithoutRun(RunningAttempt attempt, AgentReply message) {
        update(current -> current.release(attempt.id()));
        attempt.end(message, now());
    }

    /**
     * Runs an attempt at the target.
     *
     * @param attempt the attempt
     * @param nonce the nonce of the claim, or an empty text
     */
    private void runAtTarget(RunningAttempt attempt, String nonce) {
        if (!attempt.isRunning()) {
            update(current -> current.release(attempt.id()));
            if (!nonce.isEmpty()) {
                giveBack(attempt, nonce);
            }
            return;
        }
        timeline.record(
                attempt.dispatch().request().value(), "run", attempt.id().value(), System.currentTimeMillis());
        target.run(attempt.dispatch(), new Answer(attempt, nonce));
    }

    /**
     * Records the answer of a claimed run.
     *
     * @param attempt the attempt
     * @param nonce the nonce of the claim
     * @param status the HTTP status
     * @param contentType the media type
     */
    private void record(RunningAttempt attempt, String nonce, int status, String contentType) {
        byte[] body = attempt.answer();
        byte[] kept = body.length <= RecordedAnswer.MAX_BODY_BYTES ? body : new byte[0];
        recording.incrementAndGet();
        var key = attempt.dispatch().claim().key();
        FinishRun finish = new FinishRun(key, attempt.id(), nonce, new RecordedAnswer(status, contentType, kept));
        control.call(finish, RECORD_TIMEOUT).whenComplete((reply, problem) -> {
            recording.decrementAndGet();
            if (!(reply instanceof ControlReply.Run run) || run.state() != RunState.FINISHED) {
                LOGGER.error("runs: the answer of {} was not recorded: {}", attempt.id(), reply);
            }
        });
    }

    /** Hears the answer of one attempt. */
    private final class Answer implements RunListener {

        /** The attempt. */
        private final RunningAttempt attempt;

        /** The nonce of the claim, or an empty text. */
        private final String nonce;

        /**
         * Creates a listener.
         *
         * @param attempt the attempt
         * @param nonce the nonce of the claim, or an empty text
         */
        Answer(RunningAttempt attempt, String nonce) {
            this.attempt = attempt;
            this.nonce = nonce;
        }

        @Override
        public void onData(byte[] data, int tokens) {
            if (attempt.add(data, tokens)) {
                update(current -> current.firstToken(attempt.id()));
            }
        }

        @Override
        public void onEnd(int status, String contentType, String finishReason) {
            if (!nonce.isEmpty()) {
                record(attempt, nonce, status, contentType);
            }
            update(current -> current.release(attempt.id()));
            attempt.end(
                    new AgentReply.Completed(attempt.id(), attempt.size(), status, contentType, finishReason), now());
        }

        @Override
        public void onFailure(boolean started, String sentence) {
            boolean claimed = !nonce.isEmpty();
            if (claimed && !started) {
                giveBack(attempt, nonce);
            }
            RunOutcome outcome = started ? RunOutcome.FAILED : RunOutcome.NOT_RUN;
            if (started && claimed) {
                outcome = RunOutcome.UNKNOWN;
            }
            if (!started || !attempt.dispatch().call().path().startsWith("/v1/")) {
                update(current -> current.release(attempt.id()));
            }
            attempt.end(new AgentReply.Failed(attempt.id(), outcome, sentence), now());
        }
    }
}
