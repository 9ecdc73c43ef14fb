package org.bamboohatch.routing.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.Requests;
import org.bamboohatch.routing.WaitingRequest;
import org.bamboohatch.routing.target.TargetView;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionControlTest {

    private final SplittableRandom random = new SplittableRandom(1);

    private static PoolView pool(List<WaitingRequest> waiting) {
        TargetView target = new TargetView(
                new TargetName("a"), true, 1_000_000, 0, 0, 0, 64, List.of(0L, 0L, 0L, 0L, 0L), 0.02, true);
        return new PoolView(List.of(target), waiting, 10, 1);
    }

    private static List<WaitingRequest> backlog(String account, int count) {
        List<WaitingRequest> waiting = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            waiting.add(Requests.of(account, 5_000, number, 100_000));
        }
        return waiting;
    }

    private AdmissionDecision decide(WaitingRequest request, PoolView pool) {
        return AdmissionControl.ForPredictedFinish.INSTANCE.decide(request, pool, random, 0);
    }

    @Test
    void requestThatFinishesInTimeIsAdmitted() {
        assertThat(decide(Requests.of("a", 5_000, 0, 1_000), pool(List.of())))
                .isEqualTo(AdmissionDecision.Admit.WITHOUT_DISPLACEMENT);
    }

    @Test
    void requestThatCannotFinishInTimeIsRefusedWithRetryDelay() {
        AdmissionDecision decision = decide(Requests.of("a", 5_000, 0, 1_000), pool(backlog("a", 50)));
        assertThat(decision).isInstanceOf(AdmissionDecision.Refuse.class);
        assertThat(((AdmissionDecision.Refuse) decision).retryAfter().toMillis())
                .isBetween(1_000L, 30_000L);
    }

    @Test
    void refusalReportsAccountOverItsShare() {
        AdmissionDecision decision = decide(Requests.of("a", 5_000, 0, 1_000), pool(backlog("a", 50)));
        assertThat(((AdmissionDecision.Refuse) decision).overShare()).isTrue();
    }

    @Test
    void accountBelowItsShareDisplacesLatestRequestsOfOtherAccount() {
        List<WaitingRequest> waiting = backlog("flood", 12);
        AdmissionDecision decision = decide(Requests.of("b", 5_000, 100, 1_000), pool(waiting));
        assertThat(decision).isInstanceOf(AdmissionDecision.Admit.class);
        assertThat(((AdmissionDecision.Admit) decision).displaced())
                .contains(waiting.get(11).id())
                .doesNotContain(waiting.get(0).id());
    }

    @Test
    void promptTooLongForItsDeadlineDisplacesNoRequest() {
        AdmissionDecision decision = decide(Requests.of("b", 100_000, 0, 1_000), pool(backlog("flood", 12)));
        assertThat(decision).isInstanceOf(AdmissionDecision.Refuse.class);
        assertThat(((AdmissionDecision.Refuse) decision).overShare()).isFalse();
    }

    @Test
    void longerPromptsDoNotDelayShorterOnes() {
        List<WaitingRequest> waiting = List.of(Requests.of("a", 900_000, 0, 100_000));
        assertThat(decide(Requests.of("a", 1_000, 0, 1_000), pool(waiting)))
                .isEqualTo(AdmissionDecision.Admit.WITHOUT_DISPLACEMENT);
    }

    @Test
    void requestWithoutEnoughTimeLeftWillMissDeadline() {
        WaitingRequest request = Requests.of("a", 5_000, 0, 1_000);
        assertThat(AdmissionControl.ForPredictedFinish.INSTANCE.willMissDeadline(request, pool(List.of()), 700))
                .isFalse();
        assertThat(AdmissionControl.ForPredictedFinish.INSTANCE.willMissDeadline(request, pool(List.of()), 900))
                .isTrue();
    }

    @Test
    void disabledAdmissionControlAdmitsEveryRequest() {
        assertThat(AdmissionControl.Disabled.INSTANCE.decide(
                        Requests.of("a", 900_000, 0, 1), pool(backlog("a", 50)), random, 0))
                .isEqualTo(AdmissionDecision.Admit.WITHOUT_DISPLACEMENT);
    }
}
