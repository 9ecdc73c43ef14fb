package org.bamboohatch.gateway.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.RecordCrashes;
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.bamboohatch.routing.quarantine.RequestQuarantine.Observations;
import org.bamboohatch.routing.quarantine.TargetCrash;
import org.bamboohatch.routing.quarantine.TargetCrash.State;

/**
 * Has control record the evidence against requests that end targets, and applies what it has recorded when the gateway
 * starts. Gateways hand evidence on to each other, but all of them may end at the same moment. Confined to the callers'
 * event loop; requests do not wait for it.
 */
public final class QuarantineRecorder implements Service {

    /** Interval at which evidence is looked for, in milliseconds. */
    private static final long INTERVAL_MS = 1_000;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final RequestQuarantine quarantine;

    private final ControlCalls control;

    private final EventLoop loop;

    /** The evidence that control has recorded, as far as this gateway knows. */
    private Observations recorded = Observations.NONE;

    private boolean callPending;

    /** The scheduled checks, null before the start. */
    private ScheduledFuture<?> checks;

    /**
     * Creates a recorder that does not check for evidence yet.
     *
     * @param quarantine the quarantine of this gateway
     * @param control calls control
     * @param loop the event loop to which the quarantine is confined
     */
    public QuarantineRecorder(RequestQuarantine quarantine, ControlCalls control, EventLoop loop) {
        this.quarantine = quarantine;
        this.control = control;
        this.loop = loop;
    }

    @Override
    public void start() {
        checks = loop.scheduleWithFixedDelay(
                () -> recordEvidence(GatewayClock.now()), INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (checks != null) {
            checks.cancel(false);
        }
    }

    /**
     * Applies the evidence that control has recorded.
     *
     * @param evidence the evidence
     * @param now current time, in milliseconds
     */
    public void apply(CrashEvidence evidence, long now) {
        recorded = toObservations(evidence, now);
        quarantine.apply(recorded, now);
    }

    /**
     * Sends the evidence to control if it has changed. If control does not answer, it is sent again.
     *
     * @param now current time, in milliseconds
     */
    void recordEvidence(long now) {
        if (callPending) {
            return;
        }
        Observations evidence = quarantine.evidence(recorded, now);
        if (evidence.equals(recorded)) {
            return;
        }
        callPending = true;
        control.call(new RecordCrashes(toEvidence(evidence, now)), CALL_TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    callPending = false;
                    if (reply instanceof ControlReply.CrashesRecorded) {
                        recorded = evidence;
                    }
                }));
    }

    private static CrashEvidence toEvidence(Observations observations, long now) {
        return new CrashEvidence(
                observations.crashes().stream()
                        .map(crash -> new CrashEvidence.Crash(
                                crash.incarnation().target(),
                                crash.incarnation().number(),
                                now - crash.at(),
                                crash.suspects(),
                                crash.state() == State.ATTRIBUTED))
                        .toList(),
                observations.generatedAt().entrySet().stream()
                        .map(entry -> new CrashEvidence.Generation(entry.getKey(), now - entry.getValue()))
                        .toList());
    }

    private static Observations toObservations(CrashEvidence evidence, long now) {
        List<TargetCrash> crashes = evidence.crashes().stream()
                .map(crash -> new TargetCrash(
                        crash.toIncarnation(),
                        now - crash.ageMillis(),
                        crash.traits(),
                        crash.attributed() ? State.ATTRIBUTED : State.UNEXPLAINED))
                .toList();
        return new Observations(
                crashes,
                evidence.generated().stream()
                        .collect(Collectors.toMap(
                                CrashEvidence.Generation::trait,
                                generation -> now - generation.ageMillis(),
                                Math::max)));
    }
}
