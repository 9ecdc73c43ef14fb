package org.bamboohatch.routing.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Crashes of engines are attributed to the part that all of them have in common, not to the parts beside it. */
class CrashAttributionTest {

    private static final RequestTrait BAD = new RequestTrait("bad");

    private static final RequestTrait COMMON = new RequestTrait("common");

    private static TargetCrash crash(int number, RequestTrait... suspects) {
        TargetIncarnation engine = new TargetIncarnation(new TargetName("engine-" + number), 1);
        return new TargetCrash(engine, 1_000 + number, List.of(suspects), TargetCrash.State.UNEXPLAINED);
    }

    private static List<TargetCrash> crashes(int count, RequestTrait... suspects) {
        List<TargetCrash> crashes = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            crashes.add(crash(number, suspects));
        }
        return crashes;
    }

    @Test
    void aPartOnWhichNothingWasGeneratedIsFoundAfterThreeCrashes() {
        assertThat(CrashAttribution.attribute(crashes(2, BAD), Map.of())).isEmpty();
        assertThat(CrashAttribution.attribute(crashes(3, BAD), Map.of())).containsOnlyKeys(BAD);
    }

    @Test
    void aPartOnWhichResponsesWereGeneratedBeforeIsNotBlamedBesideOneOnWhichNoneWas() {
        List<TargetCrash> crashes = crashes(8, BAD, COMMON);
        assertThat(CrashAttribution.attribute(crashes, Map.of(COMMON, 900L))).containsOnlyKeys(BAD);
    }

    @Test
    void amongEqualsTheLaterPartIsBlamedBecauseFewerRequestsShareIt() {
        assertThat(CrashAttribution.attribute(crashes(4, COMMON, BAD), Map.of()))
                .containsOnlyKeys(BAD);
    }

    @Test
    void crashesBeforeTheLastResponseOnAPartDoNotCountAgainstIt() {
        assertThat(CrashAttribution.attribute(crashes(8, COMMON), Map.of(COMMON, 1_005L)))
                .isEmpty();
    }

    /** A part that was sound may end engines that run another version of a model. */
    @Test
    void aPartThatWasSoundIsBlamedAfterMoreCrashes() {
        assertThat(CrashAttribution.attribute(spacedCrashes(5, COMMON), Map.of(COMMON, 900L)))
                .isEmpty();
        assertThat(CrashAttribution.attribute(spacedCrashes(6, COMMON), Map.of(COMMON, 900L)))
                .containsOnlyKeys(COMMON);
    }

    @Test
    void twoCausesAreBothFound() {
        RequestTrait other = new RequestTrait("other");
        List<TargetCrash> crashes = new ArrayList<>(crashes(4, BAD, COMMON));
        for (int number = 4; number < 7; number++) {
            crashes.add(crash(number, other, COMMON));
        }
        assertThat(CrashAttribution.attribute(crashes, Map.of(COMMON, 900L))).containsOnlyKeys(BAD, other);
    }

    private static final RequestTrait CONTENT = RequestTrait.ofContent("crashing:oaxaca");

    private static final RequestTrait OTHER_CONTENT = RequestTrait.ofContent("other:oaxaca");

    /** Crashes at intervals in which no loss of power could explain several of them. */
    private static List<TargetCrash> spacedCrashes(int count, RequestTrait... suspects) {
        List<TargetCrash> crashes = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            crashes.add(crash(200 * number, suspects));
        }
        return crashes;
    }

    @Test
    void aContentIsFoundAfterThreeCrashes() {
        assertThat(CrashAttribution.attribute(crashes(2, CONTENT), Map.of())).isEmpty();
        assertThat(CrashAttribution.attribute(crashes(3, CONTENT), Map.of())).containsOnlyKeys(CONTENT);
    }

    /** A request that was served before may end targets of another version. */
    @Test
    void aContentThatWasSoundIsFoundAfterThreeCrashesToo() {
        assertThat(CrashAttribution.attribute(spacedCrashes(3, CONTENT), Map.of(CONTENT, 900L)))
                .containsOnlyKeys(CONTENT);
    }

    /** Many targets lose power while all of them work on a request that many callers send. */
    @Test
    void coincidentCrashesCountOnceAgainstATraitThatWasSound() {
        assertThat(CrashAttribution.attribute(crashes(40, CONTENT), Map.of(CONTENT, 900L)))
                .isEmpty();
        assertThat(CrashAttribution.attribute(crashes(40, COMMON), Map.of(COMMON, 900L)))
                .isEmpty();
    }

    /** All targets of a small service end under one request, and each under the same bystander. */
    @Test
    void contentsThatCannotBeToldApartAreBothFound() {
        assertThat(CrashAttribution.attribute(crashes(3, CONTENT, OTHER_CONTENT), Map.of()))
                .containsOnlyKeys(CONTENT, OTHER_CONTENT);
    }

    @Test
    void aPartIsClearedIfOneContentExplainsItsCrashes() {
        List<TargetCrash> crashes = new ArrayList<>(crashes(4, BAD, CONTENT));
        crashes.add(crash(4, BAD));
        assertThat(CrashAttribution.attribute(crashes, Map.of())).containsOnlyKeys(CONTENT);
    }

    /** Callers repeat requests, so one of several contents with the bad part may itself have ended enough targets. */
    @Test
    void aPartIsFoundIfSeveralContentsWithItEndTargets() {
        List<TargetCrash> crashes = new ArrayList<>(spacedCrashes(3, BAD, CONTENT));
        crashes.add(crash(700, BAD, OTHER_CONTENT));
        crashes.add(crash(900, BAD, OTHER_CONTENT));
        assertThat(CrashAttribution.attribute(crashes, Map.of())).containsOnlyKeys(BAD, CONTENT);
    }

    /** Every engine that ended had a request with the bad part, and requests with random sound parts beside it. */
    @Property(tries = 200, seed = "25")
    void onlyTheBadPartIsBlamedWhateverRunsBesideIt(@ForAll long seed) {
        Random random = new Random(seed);
        int parts = 2 + random.nextInt(60);
        Map<RequestTrait, Long> generatedAt = new HashMap<>();
        for (int part = 0; part < parts; part++) {
            generatedAt.put(new RequestTrait("sound-" + part), (long) random.nextInt(1_000));
        }
        List<TargetCrash> crashes = new ArrayList<>();
        int count = 3 + random.nextInt(10);
        for (int number = 0; number < count; number++) {
            List<RequestTrait> suspects = new ArrayList<>();
            int bystanders = random.nextInt(11);
            for (int bystander = 0; bystander < bystanders; bystander++) {
                suspects.add(new RequestTrait("sound-" + random.nextInt(parts)));
            }
            suspects.add(random.nextInt(suspects.size() + 1), BAD);
            crashes.add(crash(number, suspects.stream().distinct().toArray(RequestTrait[]::new)));
        }
        assertThat(CrashAttribution.attribute(crashes, generatedAt)).containsOnlyKeys(BAD);
    }
}
