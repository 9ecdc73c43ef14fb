package org.bamboohatch.control.state;

import java.util.List;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.protocol.message.CrashEvidence.Crash;
import org.bamboohatch.protocol.message.CrashEvidence.Generation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against evidence that is lost when all gateways end, that grows without bound, or that shuts sound requests out
 * although it was refuted.
 */
class CrashStateMachineTest {

    private static final RequestTrait DEADLY = RequestTrait.ofContent("deadly");

    private static final RequestTrait SHARED = new RequestTrait("shared");

    private final ControlStateMachine stateMachine = new ControlStateMachine();

    private long index;

    private static Crash crash(String target, long ageMillis, RequestTrait... traits) {
        return new Crash(new TargetName(target), 7, ageMillis, List.of(traits), false);
    }

    private void record(long time, List<Crash> crashes, Generation... generated) {
        index++;
        stateMachine.apply(
                index,
                ControlStateMachine.encode(Command.recording(time, new CrashEvidence(crashes, List.of(generated)))));
    }

    private List<Crash> crashes(long time) {
        return stateMachine.crashes().evidence(time).crashes();
    }

    @Test
    void evidenceOfSeveralGatewaysIsCombined() {
        record(1_000, List.of(crash("a", 100, DEADLY)));
        record(1_200, List.of(crash("a", 310, SHARED), crash("b", 50, DEADLY)));
        assertThat(crashes(2_000)).containsExactly(crash("a", 1_100, DEADLY, SHARED), crash("b", 850, DEADLY));
    }

    @Test
    void evidenceIsInTheSnapshot() {
        record(1_000, List.of(crash("a", 100, DEADLY, SHARED)), new Generation(SHARED, 500));
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(stateMachine.snapshot());
        assertThat(restored.crashes().evidence(1_500))
                .isEqualTo(stateMachine.crashes().evidence(1_500));
        assertThat(restored.crashes().evidence(1_500).generated()).containsExactly(new Generation(SHARED, 1_000));
    }

    @Test
    void aResponseClearsATraitOfTheCrashesBeforeIt() {
        record(1_000, List.of(crash("a", 100, DEADLY, SHARED), crash("b", 50, DEADLY)));
        record(2_000, List.of(), new Generation(DEADLY, 100));
        assertThat(crashes(2_000)).containsExactly(crash("a", 1_100, SHARED));
        record(3_000, List.of(crash("c", 0, DEADLY)));
        assertThat(crashes(3_000)).contains(crash("c", 0, DEADLY));
    }

    @Test
    void aCrashThatIsRefutedIsDropped() {
        record(1_000, List.of(crash("a", 100, DEADLY)));
        record(2_000, List.of(crash("a", 100)));
        assertThat(crashes(2_000)).isEmpty();
    }

    @Test
    void evidenceIsBoundedInNumberAndAge() {
        for (int number = 0; number < 2 * CrashStateMachine.MAX_CRASHES; number++) {
            RequestTrait[] traits = new RequestTrait[2 * CrashStateMachine.MAX_TRAITS];
            for (int trait = 0; trait < traits.length; trait++) {
                traits[trait] = new RequestTrait("part-" + number + "-" + trait);
            }
            record(1_000 + number, List.of(crash("target-" + number, 0, traits)));
        }
        assertThat(crashes(2_000)).hasSize(CrashStateMachine.MAX_CRASHES).allSatisfy(crash -> assertThat(crash.traits())
                .hasSize(CrashStateMachine.MAX_TRAITS));
        record(2_000 + CrashStateMachine.RETENTION_MS, List.of(crash("last", 0, DEADLY)));
        assertThat(crashes(2_000 + CrashStateMachine.RETENTION_MS)).containsExactly(crash("last", 0, DEADLY));
    }

    @Test
    void onlyEvidenceThatAddsSomethingIsNew() {
        CrashEvidence evidence =
                new CrashEvidence(List.of(crash("a", 100, DEADLY, SHARED)), List.of(new Generation(SHARED, 500)));
        assertThat(stateMachine.crashes().isNew(evidence, 1_000)).isTrue();
        record(1_000, evidence.crashes(), new Generation(SHARED, 500));
        assertThat(stateMachine.crashes().isNew(evidence, 1_020)).isFalse();
        assertThat(stateMachine.crashes().isNew(CrashEvidence.NONE, 1_020)).isFalse();
        assertThat(stateMachine.crashes().isNew(new CrashEvidence(List.of(crash("b", 0, DEADLY)), List.of()), 1_020))
                .isTrue();
    }
}
