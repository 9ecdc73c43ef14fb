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

/** Asks the ledger how a non-idempotent run ended; "not run" is answered only once the ledger rules the run out. */
@Singleton
public final class RunSettlement {

    /** Time between two looks at a run that has begun, in milliseconds. */
    private static final long LOOKUP_INTERVAL_MS = 100;

    /** The control processes. */
    private final ControlCalls control;

    /** The network threads. */
    private final Network network;

    /**
     * Creates a settlement.
     *
     * @param control the control processes
     * @param network the network threads
     */
    @Inject
    public RunSettlement(ControlCalls control, Network network) {
        this.control = control;
        this.network = network;
    }

    /** How a run ended. */
    sealed interface Settlement {}

    /** The attempt did not run and never will. */
    record NotRun() implements Settlement {}

    /**
     * The run has finished.
     *
     * @param answer the recorded answer
     */
    record Recorded(RecordedAnswer answer) implements Settlement {}

    /** The run has begun, or the ledger could not be asked. */
    record Unknown() implements Settlement {}

    /**
     * Abandons an attempt, or waits for the end of its run if it has begun.
     *
     * @param request the request
     * @param attempt the attempt
     * @param attemptTime ledger time at which the attempt was made at the latest, in milliseconds
     * @param remainingMillis the time for it, in milliseconds
     * @return how the run ended
     */
    CompletableFuture<Settlement> settle(
            CallerRequest request, AttemptId attempt, long attemptTime, long remainingMillis) {
        RunKey key = request.description().claim().orElseThrow();
        long deadline = ConfigurationStore.now() + remainingMillis;
        CompletableFuture<Settlement> settled = new CompletableFuture<>();
        control.call(new AbandonRun(key, attempt, null, attemptTime), Duration.ofMillis(Math.max(1, remainingMillis)))
                .thenAccept(reply -> take(reply, key, deadline, settled));
        return settled;
    }

    /**
     * Waits for the end of a run that another attempt has begun.
     *
     * @param key the idempotency key within its account
     * @param remainingMillis the time for it, in milliseconds
     * @return how the run ended
     */
    CompletableFuture<Settlement> awaitEnd(RunKey key, long remainingMillis) {
        CompletableFuture<Settlement> settled = new CompletableFuture<>();
        lookUp(key, ConfigurationStore.now() + remainingMillis, settled);
        return settled;
    }

    /**
     * Takes a reply of the ledger.
     *
     * @param reply the reply
     * @param key the idempotency key within its account
     * @param deadline time at which the question is given up, in milliseconds
     * @param settled takes how the run ended
     */
    private void take(ControlReply reply, RunKey key, long deadline, CompletableFuture<Settlement> settled) {
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

    /**
     * Looks at a run.
     *
     * @param key the idempotency key within its account
     * @param deadline time at which the question is given up, in milliseconds
     * @param settled takes how the run ended
     */
    private void lookUp(RunKey key, long deadline, CompletableFuture<Settlement> settled) {
        long left = deadline - ConfigurationStore.now();
        if (left <= 0) {
            settled.complete(new Unknown());
            return;
        }
        control.call(new LookupRun(key), Duration.ofMillis(left))
                .thenAccept(reply -> take(reply, key, deadline, settled));
    }
}
