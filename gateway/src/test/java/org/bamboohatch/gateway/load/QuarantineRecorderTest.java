package org.bamboohatch.gateway.load;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.DefaultEventLoop;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.RecordCrashes;
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that end targets anew after all gateways have ended at the same moment. */
@Timeout(30)
class QuarantineRecorderTest {

    private static final RequestTrait DEADLY = RequestTrait.ofContent("deadly");

    private static final RequestTrait SOUND = RequestTrait.ofContent("sound");

    private static final long QUARANTINE_MS = 600_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();

    /** The evidence that control has received latest. */
    private CrashEvidence recorded = CrashEvidence.NONE;

    private int calls;

    private ControlReply reply = new ControlReply.CrashesRecorded();

    private RequestQuarantine quarantine;

    private QuarantineRecorder recorder;

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
    }

    private void startGateway() {
        quarantine = new RequestQuarantine(QUARANTINE_MS, RequestQuarantine.Observer.Disabled.INSTANCE);
        recorder = new QuarantineRecorder(
                quarantine,
                (request, timeout) -> {
                    calls++;
                    if (reply instanceof ControlReply.CrashesRecorded) {
                        recorded = ((RecordCrashes) request).evidence();
                    }
                    return CompletableFuture.completedFuture(reply);
                },
                loop);
    }

    private void crash(int target, long at, RequestTrait... traits) {
        quarantine.recordCrash(new TargetIncarnation(new TargetName("t-" + target), 1), List.of(traits), at);
    }

    /** Lets the recorder check, and completes its call. */
    private void check(long now) {
        recorder.recordEvidence(now);
        loop.submit(() -> {}).syncUninterruptibly();
    }

    @Test
    void aGatewayThatStartsKeepsARequestFromTargetsThatEndedThemBefore() {
        startGateway();
        for (int target = 0; target < 3; target++) {
            crash(target, 5_000L * target, DEADLY, SOUND);
            quarantine.recordGeneration(List.of(SOUND), 5_000L * target + 1_000);
            check(5_000L * target + 2_000);
        }
        startGateway();
        // The clocks of two starts of a process have nothing in common.
        recorder.apply(recorded, -70_000);
        assertThat(quarantine.find(List.of(DEADLY), -69_000)).isPresent();
        assertThat(quarantine.find(List.of(SOUND), -69_000)).isEmpty();
    }

    /** The gateways may end right after the last crash that is needed. */
    @Test
    void theSecondOfThreeCrashesIsRecorded() {
        startGateway();
        crash(0, 0, DEADLY);
        check(1_000);
        assertThat(calls).isZero();
        crash(1, 5_000, DEADLY);
        check(6_000);
        assertThat(recorded.crashes()).hasSize(2);
        startGateway();
        recorder.apply(recorded, 10_000);
        assertThat(quarantine.find(List.of(DEADLY), 11_000)).isEmpty();
        crash(2, 12_000, DEADLY);
        assertThat(quarantine.find(List.of(DEADLY), 13_000)).isPresent();
    }

    @Test
    void evidenceIsSentAgainUntilItIsRecorded() {
        startGateway();
        reply = new ControlReply.Undecided("no leader");
        crash(0, 0, DEADLY);
        crash(1, 5_000, DEADLY);
        check(6_000);
        check(7_000);
        assertThat(calls).isEqualTo(2);
        reply = new ControlReply.CrashesRecorded();
        check(8_000);
        check(9_000);
        assertThat(calls).isEqualTo(3);
        assertThat(recorded.crashes()).hasSize(2);
    }

    /** A part of many requests is among the suspects of most crashes, so it takes more of them than for an unknown part. */
    @Test
    void aPartOnWhichResponsesWereGeneratedStaysProven() {
        RequestTrait part = new RequestTrait("shared-part");
        startGateway();
        quarantine.recordGeneration(List.of(part), 0);
        for (int target = 0; target < 5; target++) {
            crash(target, 2_000L * (target + 1), part);
        }
        check(12_000);
        assertThat(recorded.crashes()).hasSize(5);
        startGateway();
        recorder.apply(recorded, 20_000);
        assertThat(quarantine.find(List.of(part), 21_000)).isEmpty();
        crash(5, 22_000, part);
        assertThat(quarantine.find(List.of(part), 23_000)).isPresent();
    }

    /** Guards against a sound request that stays shut out for as long as its quarantine is recorded. */
    @Test
    void aResponseAfterTheStartClearsTheRecord() {
        startGateway();
        for (int target = 0; target < 3; target++) {
            crash(target, 5_000L * target, DEADLY);
        }
        check(12_000);
        startGateway();
        recorder.apply(recorded, 100_000);
        assertThat(quarantine.find(List.of(DEADLY), 101_000)).isPresent();
        quarantine.recordGeneration(List.of(DEADLY), 102_000);
        check(103_000);
        assertThat(recorded.generated())
                .extracting(CrashEvidence.Generation::trait)
                .containsExactly(DEADLY);
        assertThat(quarantine.find(List.of(DEADLY), 104_000)).isEmpty();
    }

    @Test
    void aCrashThatIsRefutedLaterIsTakenBack() {
        startGateway();
        crash(0, 0, DEADLY);
        crash(1, 5_000, DEADLY);
        check(5_400);
        quarantine.recordActivity(new TargetIncarnation(new TargetName("t-1"), 1), 6_000);
        check(7_000);
        assertThat(recorded.crashes())
                .filteredOn(crash -> crash.target().equals(new TargetName("t-1")))
                .singleElement()
                .satisfies(crash -> assertThat(crash.traits()).isEmpty());
    }
}
