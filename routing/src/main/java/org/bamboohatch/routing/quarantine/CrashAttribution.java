package org.bamboohatch.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.RequestTrait;

import static java.util.Comparator.reverseOrder;

/**
 * Finds the traits of requests that end targets. All requests that a target had not answered when it ended are suspect, so
 * innocent traits are suspected along with the cause. They are told apart by the number of targets that ended, by responses
 * that were generated on a trait, and because a crash has a single cause: once a trait is found, the crashes that it
 * explains no longer count against others.
 */
public final class CrashAttribution {

    /** Crashes that show that a trait ends targets, if no response was ever generated on it. */
    private static final int REQUIRED_CRASHES = 3;

    /**
     * Crashes that show that a trait ends targets, if responses were generated on it before. More, because a trait of many
     * requests is among the suspects of most crashes.
     */
    private static final int REQUIRED_CRASHES_OF_PROVEN_PART = 6;

    private CrashAttribution() {}

    /**
     * A trait and the strength of the case against it.
     *
     * @param trait the trait
     * @param crashes number of unexplained crashes since a response was last generated on it
     * @param generatedAt time at which a response was last generated on it, in milliseconds; empty if unknown
     */
    private record Accused(RequestTrait trait, int crashes, Optional<Long> generatedAt) {

        /**
         * Orders traits on which responses were generated before all others, as they may accompany several causes; then by
         * the number of crashes and by the time for which no response was generated.
         */
        private static final Comparator<Accused> BY_STRENGTH = Comparator.comparing(Accused::isProven, reverseOrder())
                .thenComparingInt(Accused::crashes)
                .thenComparing(accused -> accused.generatedAt().orElse(Long.MIN_VALUE), reverseOrder());

        boolean isProven() {
            return generatedAt.isPresent();
        }

        boolean isConclusive() {
            return crashes >= requiredCrashes(isProven());
        }
    }

    /**
     * Returns the number of crashes that show that a trait ends targets.
     *
     * @param proven whether responses were generated on the trait before
     * @return the number of crashes since the last response
     */
    public static int requiredCrashes(boolean proven) {
        return proven ? REQUIRED_CRASHES_OF_PROVEN_PART : REQUIRED_CRASHES;
    }

    /**
     * Attributes crashes to traits.
     *
     * @param crashes the crashes, the oldest first
     * @param generatedAt time at which a response was last generated on a trait, in milliseconds; traits on which none is
     *     known are missing
     * @return the traits that end targets, each with the crashes that it explains
     */
    public static Map<RequestTrait, List<TargetCrash>> attribute(
            Collection<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt) {
        List<TargetCrash> unexplained = new ArrayList<>(crashes);
        Map<RequestTrait, List<TargetCrash>> causes = new LinkedHashMap<>();
        for (Optional<Accused> cause = strongest(unexplained, generatedAt);
                cause.isPresent();
                cause = strongest(unexplained, generatedAt)) {
            RequestTrait trait = cause.get().trait();
            List<TargetCrash> explained = unexplained.stream()
                    .filter(crash -> crash.suspects().contains(trait))
                    .toList();
            causes.put(trait, explained);
            unexplained.removeAll(explained);
        }
        return causes;
    }

    /**
     * Returns the trait against which the case is strongest. Among equals, that is the one that comes later in its prompt,
     * because fewer requests share it.
     *
     * @param crashes the crashes that have no known cause
     * @param generatedAt time at which a response was last generated on a trait, in milliseconds
     * @return the trait, empty if the case against none is conclusive
     */
    private static Optional<Accused> strongest(List<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt) {
        Map<RequestTrait, Integer> counts = new LinkedHashMap<>();
        for (TargetCrash crash : crashes) {
            for (RequestTrait suspect : crash.suspects()) {
                if (crash.at() > generatedAt.getOrDefault(suspect, Long.MIN_VALUE)) {
                    counts.merge(suspect, 1, Integer::sum);
                }
            }
        }
        return counts.entrySet().stream()
                .map(count -> new Accused(
                        count.getKey(), count.getValue(), Optional.ofNullable(generatedAt.get(count.getKey()))))
                .filter(Accused::isConclusive)
                .reduce((former, later) -> Accused.BY_STRENGTH.compare(later, former) >= 0 ? later : former);
    }
}
