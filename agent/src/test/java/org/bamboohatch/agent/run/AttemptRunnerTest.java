package org.bamboohatch.agent.run;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.agent.AgentSettings;
import org.bamboohatch.agent.driver.RunListener;
import org.bamboohatch.agent.driver.TargetDriver;
import org.bamboohatch.agent.driver.TargetState;
import org.bamboohatch.control.state.LedgerStateMachine;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.outcome.RunOutcome;
import org.bamboohatch.protocol.message.AgentReply;
import org.bamboohatch.protocol.message.AgentReply.RefusalReason;
import org.bamboohatch.protocol.message.AgentRequest.Claim;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.bamboohatch.protocol.message.ControlReply.RunState;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.FinishRun;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.TargetCall;
import org.bamboohatch.protocol.transport.Exchange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptRunnerTest {

    private static final RunKey KEY = new RunKey(new AccountName("oaxaca"), "crates");

    /** Records runs and cancellations. Tests end a run through its listener. */
    private static final class FakeTarget implements TargetDriver.Target {
        private final List<Dispatch> started = new ArrayList<>();
        private final List<RunListener> listeners = new ArrayList<>();
        private final List<String> cancelled = new ArrayList<>();

        @Override
        public void run(Dispatch dispatch, RunListener listener) {
            started.add(dispatch);
            listeners.add(listener);
        }

        @Override
        public void cancel(String id) {
            cancelled.add(id);
        }

        @Override
        public CompletableFuture<TargetState> state() {
            return CompletableFuture.completedFuture(new TargetState(List.of(), 0, List.of()));
        }

        @Override
        public CompletableFuture<Void> executeOrder(PlacementOrder order, long fence) {
            return CompletableFuture.completedFuture(null);
        }
    }

    /** Records replies. */
    private static final class FakeExchange implements Exchange {
        private final List<Message> replies = new ArrayList<>();
        private Message last;
        private boolean open = true;

        @Override
        public void reply(Message message) {
            replies.add(message);
        }

        @Override
        public void end(Message message) {
            last = message;
        }

        @Override
        public boolean isOpen() {
            return open;
        }
    }

    private final FakeTarget target = new FakeTarget();
    private final LedgerStateMachine ledger = new LedgerStateMachine();
    private boolean controlReachable = true;
    private final AttemptRunner runner =
            new AttemptRunner(settings(), target, this::control, new Timeline("agent", 16));

    private static AgentSettings settings() {
        return new AgentSettings(
                new HostName("h"),
                new ZoneName("z"),
                "127.0.0.1:1",
                "",
                new TargetName("t"),
                new ServiceName("s"),
                "plain",
                "http://127.0.0.1:2",
                List.of("127.0.0.1:3"),
                1_000,
                2);
    }

    private CompletableFuture<ControlReply> control(ControlRequest request, Duration timeout) {
        if (!controlReachable) {
            return CompletableFuture.completedFuture(new ControlReply.Undecided("no leader"));
        }
        ControlReply reply = null;
        if (request instanceof BeginRun begin) {
            reply = ledger.begin(begin);
        } else if (request instanceof AbandonRun abandon) {
            reply = ledger.abandon(abandon);
        } else if (request instanceof FinishRun finish) {
            reply = ledger.finish(finish);
        }
        return CompletableFuture.completedFuture(reply);
    }

    private static Dispatch dispatch(String attempt, long promptTokens, boolean claimed) {
        return dispatch(attempt, 60_000, promptTokens, claimed);
    }

    private static Dispatch dispatch(String attempt, long remainingMillis, long promptTokens, boolean claimed) {
        return new Dispatch(
                new RequestId("r"),
                new AttemptId(attempt),
                new ServiceName("s"),
                promptTokens > 0 ? new ModelName("m") : null,
                0,
                remainingMillis,
                0,
                promptTokens,
                0,
                0,
                claimed ? new Claim(KEY, "hash", 0) : null,
                new TargetCall("POST", claimed ? "/orders" : "/v1/completions", "text/plain", new byte[0]));
    }

    private FakeExchange run(Dispatch dispatch) {
        FakeExchange exchange = new FakeExchange();
        runner.run(dispatch, exchange, 0);
        return exchange;
    }

    private void completeRun(int run, String answer) {
        target.listeners.get(run).onData(answer.getBytes(StandardCharsets.UTF_8), 1);
        target.listeners.get(run).onEnd(200, "text/plain", "");
    }

    @Test
    void completedRunIsReportedAndReleasesMemory() {
        FakeExchange exchange = run(dispatch("a", 900, false));
        completeRun(0, "done");
        assertThat(exchange.last).isEqualTo(new AgentReply.Completed(new AttemptId("a"), 1, 200, "text/plain", ""));
        assertThat(runner.capacity().reservedTokens()).isZero();
    }

    @Test
    void refusesRequestIfMemoryIsExhausted() {
        run(dispatch("a", 900, false));
        FakeExchange exchange = run(dispatch("b", 200, false));
        assertThat(((AgentReply.Refused) exchange.last).reason()).isEqualTo(RefusalReason.FULL);
        assertThat(target.started).hasSize(1);
    }

    @Test
    void duplicateDispatchRunsOnce() {
        run(dispatch("a", 0, true));
        run(dispatch("a", 0, true));
        assertThat(target.started).hasSize(1);
    }

    @Test
    void repeatedNonIdempotentRequestGetsRecordedAnswer() {
        run(dispatch("a", 0, true));
        completeRun(0, "first");
        FakeExchange exchange = run(dispatch("b", 0, true));
        assertThat(((AgentReply.Claimed) exchange.last).decision().state()).isEqualTo(RunState.FINISHED);
        assertThat(target.started).hasSize(1);
    }

    /** Guards against a run that is recorded without its body because its attempt was aborted before it ended. */
    @Test
    void answerAfterTheEndOfItsAttemptIsRecordedWhole() {
        FakeExchange exchange = run(dispatch("a", 0, 0, true));
        runner.reconcile(new TargetState(List.of(), 0, List.of()));
        completeRun(0, "whole");
        assertThat(((AgentReply.Failed) exchange.last).outcome()).isEqualTo(RunOutcome.UNKNOWN);
        assertThat(exchange.replies).noneMatch(AgentReply.Chunk.class::isInstance);
        FakeExchange repeated = run(dispatch("b", 0, true));
        assertThat(((AgentReply.Claimed) repeated.last).decision().answer().body())
                .asString(StandardCharsets.UTF_8)
                .isEqualTo("whole");
    }

    @Test
    void abandonedAttemptDoesNotRun() {
        ledger.abandon(new AbandonRun(KEY, new AttemptId("a"), null, 0));
        FakeExchange exchange = run(dispatch("a", 0, true));
        assertThat(((AgentReply.Claimed) exchange.last).decision().state()).isEqualTo(RunState.ABANDONED);
        assertThat(target.started).isEmpty();
        assertThat(runner.capacity().reservations()).isEmpty();
    }

    @Test
    void nonIdempotentRequestDoesNotRunIfLedgerIsUnreachable() {
        controlReachable = false;
        FakeExchange exchange = run(dispatch("a", 0, true));
        assertThat(((AgentReply.Refused) exchange.last).reason()).isEqualTo(RefusalReason.LEDGER_UNREACHABLE);
        assertThat(target.started).isEmpty();
    }

    @Test
    void releasesClaimIfTargetWasNotReached() {
        FakeExchange exchange = run(dispatch("a", 0, true));
        target.listeners.get(0).onFailure(false, "refused");
        assertThat(((AgentReply.Failed) exchange.last).outcome()).isEqualTo(RunOutcome.NOT_RUN);
        run(dispatch("b", 0, true));
        assertThat(target.started).hasSize(2);
    }

    @Test
    void keepsClaimIfRunMayHaveStarted() {
        FakeExchange exchange = run(dispatch("a", 0, true));
        target.listeners.get(0).onFailure(true, "reset");
        assertThat(((AgentReply.Failed) exchange.last).outcome()).isEqualTo(RunOutcome.UNKNOWN);
        run(dispatch("b", 0, true));
        assertThat(target.started).hasSize(1);
    }

    @Test
    void resumesWithNextChunkAfterLostConnection() {
        FakeExchange first = run(dispatch("a", 100, false));
        target.listeners.get(0).onData(new byte[] {1}, 1);
        first.open = false;
        target.listeners.get(0).onData(new byte[] {2}, 1);
        FakeExchange second = new FakeExchange();
        runner.resume(new AttemptId("a"), 1, second);
        target.listeners.get(0).onData(new byte[] {3}, 1);
        assertThat(second.replies)
                .extracting(reply -> ((AgentReply.Chunk) reply).sequence())
                .containsExactly(1L, 2L);
    }

    @Test
    void reconcileCancelsUnownedRunsRepeatedly() {
        TargetState state = new TargetState(List.of(), 0, List.of("unowned"));
        runner.reconcile(state);
        runner.reconcile(state);
        assertThat(target.cancelled).containsExactly("unowned", "unowned");
    }

    @Test
    void cancelledRunKeepsMemoryUntilEngineHasEndedIt() {
        run(dispatch("a", 900, false));
        runner.cancel(new AttemptId("a"));
        runner.reconcile(new TargetState(List.of(), 0, List.of("a")));
        assertThat(runner.capacity().reservedTokens()).isEqualTo(900);
        runner.reconcile(new TargetState(List.of(), 0, List.of()));
        assertThat(runner.capacity().reservedTokens()).isZero();
    }

    @Test
    void claimedRunIsNotCancelled() {
        run(dispatch("a", 0, true));
        runner.cancel(new AttemptId("a"));
        assertThat(target.cancelled).isEmpty();
        assertThat(runner.isIdle()).isFalse();
    }
}
