package org.bamboohatch.entry.dispatch;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Run;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.LookupRun;
import org.bamboohatch.protocol.message.RecordedAnswer;
import org.bamboohatch.protocol.transport.Network;

/**
 * Determines the outcome of a non-idempotent run whose attempt ended without a definite result. The outcome
 * {@link NotRun} is returned only after the ledger has ruled out that the attempt runs later.
 */
@Singleton
public final class RunSettlement {

    /** Time between two lookups of a run that has begun. */
    private static final long LOOKUP_INTERVAL_MS = 100;

    private final ControlCalls control;

    private final Network network;

    /**
     * Creates a settlement that queries the ledger of the control processes.
     *
     * @param control client of the control processes
     * @param network schedules repeated lookups
     */
    @Inject
    public RunSettlement(ControlCalls control, Network network) {
        this.control = control;
        this.network = network;
    }

    /** Outcome of a run. */
    sealed interface Settlement {}

    /** The attempt did not run and never will. */
    record NotRun() implements Settlement {}

    /**
     * The run has finished.
     *
     * @param answer the answer that the ledger recorded
     */
    record Recorded(RecordedAnswer answer) implements Settlement {}

    /** The run has begun without a known end, or the ledger gave no usable reply in time. */
    record Unknown() implements Settlement {}

    /**
     * Abandons an attempt in the ledger, or waits for the end of its run if the run has begun.
     *
     * @param request the request, which must have a run key
     * @param attempt identifier of the attempt
     * @param attemptTime upper bound of the ledger time at which the attempt was made, in milliseconds
     * @param remainingMillis time after which the outcome is unknown, in milliseconds
     * @return completed with the outcome of the run
     */
    CompletableFuture<Settlement> settle(
            CallerRequest request, AttemptId attempt, long attemptTime, long remainingMillis) {
        RunKey key = request.description().runKey().orElseThrow();
        long deadline = ConfigurationStore.now() + remainingMillis;
        CompletableFuture<Settlement> settled = new CompletableFuture<>();
        control.call(new AbandonRun(key, attempt, null, attemptTime), Duration.ofMillis(Math.max(1, remainingMillis)))
                .thenAccept(reply -> handleReply(reply, key, deadline, settled));
        return settled;
    }

    /**
     * Waits for the end of a run that another attempt has begun.
     *
     * @param key identity of the run in the ledger
     * @param remainingMillis time after which the outcome is unknown, in milliseconds
     * @return completed with the outcome of the run
     */
    CompletableFuture<Settlement> awaitEnd(RunKey key, long remainingMillis) {
        CompletableFuture<Settlement> settled = new CompletableFuture<>();
        lookUp(key, ConfigurationStore.now() + remainingMillis, settled);
        return settled;
    }

    private void handleReply(ControlReply reply, RunKey key, long deadline, CompletableFuture<Settlement> settled) {
        if (!(reply instanceof Run run)) {
            settled.complete(new Unknown());
            return;
        }
        switch (run.state()) {
            case ABANDONED, ABSENT -> settled.complete(new NotRun());
            case FINISHED -> settled.complete(new Recorded(run.answer()));
            case BEGUN -> network.after(Duration.ofMillis(LOOKUP_INTERVAL_MS), () -> lookUp(key, deadline, settled));
            default -> settled.complete(new Unknown());
        }
    }

    private void lookUp(RunKey key, long deadline, CompletableFuture<Settlement> settled) {
        long remainingMillis = deadline - ConfigurationStore.now();
        if (remainingMillis <= 0) {
            settled.complete(new Unknown());
            return;
        }
        control.call(new LookupRun(key), Duration.ofMillis(remainingMillis))
                .thenAccept(reply -> handleReply(reply, key, deadline, settled));
    }
}
