package org.bamboohatch.routing.quarantine;

import java.util.List;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Gateways together keep a part that ends engines from them, and let sound parts pass whatever is lost. */
class RequestQuarantineTest {

    private static final long DURATION_MS = 600_000;

    private static final RequestTrait BAD = new RequestTrait("bad");

    private static final RequestTrait COMMON = new RequestTrait("common");

    private static final List<RequestTrait> BAD_PROMPT = List.of(COMMON, BAD);

    private final RequestQuarantine first =
            new RequestQuarantine(DURATION_MS, RequestQuarantine.Observer.Disabled.INSTANCE);

    private final RequestQuarantine second =
            new RequestQuarantine(DURATION_MS, RequestQuarantine.Observer.Disabled.INSTANCE);

    private final RequestQuarantine.PendingReport firstReport = first.newReport();

    private final RequestQuarantine.PendingReport secondReport = second.newReport();

    private static TargetIncarnation engine(int number) {
        return new TargetIncarnation(new TargetName("engine-" + number), 7);
    }

    private void exchange(long now) {
        RequestQuarantine.Observations ofFirst = firstReport.takeChanges();
        RequestQuarantine.Observations ofSecond = secondReport.takeChanges();
        first.apply(ofSecond, now);
        second.apply(ofFirst, now);
    }

    private static boolean refuses(RequestQuarantine quarantine, RequestTrait part, long now) {
        return quarantine.find(List.of(part), now).isPresent();
    }

    /** Reports at intervals, as gateways do, and returns the last report of the first one. */
    private RequestQuarantine.Observations reportUntil(long now) {
        for (long time = 2_000; time < now; time += 10_000) {
            firstReport.takeAll(time);
        }
        return firstReport.takeAll(now);
    }

    private void crash(int count, long from) {
        for (int number = 0; number < count; number++) {
            (number % 2 == 0 ? first : second).recordCrash(engine(number), BAD_PROMPT, from + number);
        }
    }

    @Test
    void crashesThatDifferentGatewaysSawAreAddedUp() {
        first.recordGeneration(List.of(COMMON), 500);
        crash(3, 1_000);
        exchange(1_010);
        exchange(1_020);
        for (RequestQuarantine quarantine : List.of(first, second)) {
            assertThat(refuses(quarantine, BAD, 1_100))
                    .as("before others have reported")
                    .isFalse();
            assertThat(refuses(quarantine, BAD, 2_000)).isTrue();
            assertThat(refuses(quarantine, COMMON, 2_000)).isFalse();
        }
    }

    /** The first gateway alone knows that responses were generated on the part that all requests share. */
    @Test
    void responsesThatAnotherGatewaySawSpeakForAPart() {
        first.recordGeneration(List.of(COMMON), 500);
        for (int number = 0; number < 4; number++) {
            second.recordCrash(engine(number), List.of(COMMON), 1_000 + number);
        }
        exchange(1_010);
        exchange(1_020);
        assertThat(refuses(second, COMMON, 2_000)).isFalse();
    }

    /** Connections are reset while the engines work on. */
    @Test
    void enginesThatAnswerHaveNotCrashed() {
        crash(4, 1_000);
        exchange(1_010);
        for (int number = 0; number < 4; number++) {
            second.recordActivity(engine(number), 1_150);
        }
        exchange(1_160);
        assertThat(refuses(first, BAD, 2_000)).isFalse();
        assertThat(refuses(second, BAD, 2_000)).isFalse();
    }

    /** Connections are reset first; the same engines end later. */
    @Test
    void enginesWhoseConnectionsWereResetBeforeMayCrash() {
        first.recordCrash(engine(0), List.of(COMMON), 1_000);
        for (int number = 1; number < 3; number++) {
            first.recordCrash(engine(number), List.of(COMMON), 1_000);
            first.recordActivity(engine(number), 1_150);
        }
        exchange(1_200);
        crash(3, 8_000);
        exchange(8_010);
        assertThat(refuses(first, BAD, 9_000)).isTrue();
        assertThat(refuses(second, BAD, 9_000)).isTrue();
        assertThat(refuses(second, COMMON, 9_000)).isFalse();
    }

    /** Connections are reset, the engines answer, and end within the time of a restart after the reset. */
    @Test
    void enginesMayCrashSoonAfterTheyHaveAnswered() {
        crash(3, 1_000);
        for (int number = 0; number < 3; number++) {
            first.recordActivity(engine(number), 1_150);
        }
        exchange(1_200);
        crash(3, 1_600);
        exchange(1_610);
        assertThat(refuses(first, BAD, 2_000)).isTrue();
        assertThat(refuses(second, BAD, 2_000)).isTrue();
    }

    /** Bytes that an engine sent before its end are read after it on another connection. */
    @Test
    void bytesThatWereUnderWayDoNotRefuteACrash() {
        crash(3, 1_000);
        for (int number = 0; number < 3; number++) {
            first.recordActivity(engine(number), 1_020);
        }
        exchange(1_030);
        assertThat(refuses(first, BAD, 2_000)).isTrue();
    }

    @Test
    void aResponseReleasesAPart() {
        crash(3, 1_000);
        exchange(1_010);
        assertThat(refuses(first, BAD, 2_000)).isTrue();
        second.recordGeneration(List.of(BAD), 2_100);
        assertThat(refuses(second, BAD, 2_200)).isFalse();
        exchange(2_300);
        assertThat(refuses(first, BAD, 2_400)).isFalse();
    }

    @Test
    void aGatewayThatStartsLearnsOfTheQuarantine() {
        crash(5, 1_000);
        exchange(1_010);
        assertThat(refuses(first, BAD, 2_000)).isTrue();
        RequestQuarantine started = new RequestQuarantine(DURATION_MS, RequestQuarantine.Observer.Disabled.INSTANCE);
        started.apply(reportUntil(100_000), 100_000);
        assertThat(refuses(started, BAD, 100_010)).isTrue();
    }

    @Test
    void theQuarantineEnds() {
        crash(3, 1_000);
        exchange(1_010);
        assertThat(refuses(first, BAD, 2_000)).isTrue();
        reportUntil(980 + DURATION_MS);
        assertThat(refuses(first, BAD, 990 + DURATION_MS)).isTrue();
        assertThat(refuses(first, BAD, 1_002 + DURATION_MS)).isFalse();
        assertThat(refuses(first, BAD, 10_000 + DURATION_MS)).isFalse();
    }

    /** Rare crashes of other causes would otherwise add up against a part on which nothing was generated yet. */
    @Test
    void crashesWithoutAKnownCauseAreForgotten() {
        crash(2, 1_000);
        exchange(1_010);
        assertThat(refuses(first, BAD, 30_000)).isFalse();
        first.recordCrash(engine(9), BAD_PROMPT, 5_000 + RequestQuarantine.UNEXPLAINED_EXPIRY_MS);
        assertThat(refuses(first, BAD, 6_000 + RequestQuarantine.UNEXPLAINED_EXPIRY_MS))
                .isFalse();
    }

    @Test
    void reportsEndWhenNothingIsNew() {
        crash(4, 1_000);
        for (long now = 1_010; now < 1_100; now += 10) {
            exchange(now);
        }
        assertThat(firstReport.takeChanges().isEmpty()).isTrue();
        assertThat(secondReport.takeChanges().isEmpty()).isTrue();
    }

    private static final RequestTrait CONTENT = RequestTrait.ofContent("repeated:oaxaca");

    private void crashUnder(RequestTrait trait, long... times) {
        for (int number = 0; number < times.length; number++) {
            first.recordCrash(engine(number), List.of(trait), times[number]);
            exchange(times[number] + 10);
        }
    }

    private void shareOutTrials() {
        first.setGateways(List.of("gateway-1", "gateway-2"), "gateway-1");
        second.setGateways(List.of("gateway-1", "gateway-2"), "gateway-2");
    }

    private int trialsBegun(long now) {
        int begun = 0;
        for (RequestQuarantine quarantine : List.of(first, second)) {
            assertThat(refuses(quarantine, CONTENT, now)).isTrue();
            begun += quarantine.beginTrial(CONTENT, now) ? 1 : 0;
        }
        return begun;
    }

    /** A sound request was under way at three targets that ended for other reasons; only a response can clear it. */
    @Test
    void oneGatewayTriesARequestOnceAfterATimeWithoutCrashes() {
        shareOutTrials();
        crashUnder(CONTENT, 1_000, 1_500, 2_000);
        assertThat(trialsBegun(2_500)).isZero();
        assertThat(trialsBegun(2_000 + TrialSchedule.DELAY_MS)).isEqualTo(1);
        assertThat(trialsBegun(2_001 + TrialSchedule.DELAY_MS)).isZero();
        first.recordGeneration(List.of(CONTENT), 2_100 + TrialSchedule.DELAY_MS);
        exchange(2_200 + TrialSchedule.DELAY_MS);
        for (RequestQuarantine quarantine : List.of(first, second)) {
            assertThat(refuses(quarantine, CONTENT, 2_300 + TrialSchedule.DELAY_MS))
                    .isFalse();
        }
    }

    /** The gateways change after a failed trial, so another one is to make trials now. */
    @Test
    void aTrialThatEndedATargetIsNotRepeatedByAnotherGateway() {
        shareOutTrials();
        crashUnder(CONTENT, 1_000, 1_500, 2_000, 2_100 + TrialSchedule.DELAY_MS);
        for (RequestQuarantine quarantine : List.of(first, second)) {
            quarantine.setGateways(List.of("gateway-3"), "gateway-3");
        }
        assertThat(trialsBegun(3_000 + 2 * TrialSchedule.DELAY_MS)).isZero();
    }

    /** The crashes of three targets at one moment may be a loss of power. */
    @Test
    void aRequestIsTriedAtOnceIfItsCrashesCoincide() {
        shareOutTrials();
        crashUnder(CONTENT, 1_000, 1_001, 1_002);
        assertThat(trialsBegun(1_500)).isEqualTo(1);
    }
}
