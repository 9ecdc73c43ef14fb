package org.bamboohatch.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.bamboohatch.kernel.id.RequestTrait;

import static java.util.Comparator.reverseOrder;

/**
 * Finds the traits of requests that end targets. All requests that a target had not answered when it ended are suspect, so
 * innocent traits are suspected along with the cause. They are told apart by the number of targets that ended, by responses
 * that were generated on a trait, and because a crash has a single cause: once a trait is found, the crashes that it
 * explains no longer count against others.
 */
public final class CrashAttribution {

    /** Crashes that show that a trait ends targets, if it is a content or no response was ever generated on it. */
    private static final int REQUIRED_CRASHES = 3;

    /**
     * Crashes that show that a prompt part ends targets, if responses were generated on it before. More, because a part of
     * many requests is among the suspects of most crashes.
     */
    private static final int REQUIRED_CRASHES_OF_PROVEN_PART = 6;

    /** Largest number of crashes that may be needed to show that a trait ends targets. */
    static final int MOST_REQUIRED_CRASHES = REQUIRED_CRASHES_OF_PROVEN_PART;

    /**
     * Time within which targets that end are presumed to have one cause outside of their requests, such as a loss of power,
     * in milliseconds. A trait of many requests is then under way at all of them.
     */
    private static final long COINCIDENCE_MS = 100;

    /** Crashes of a prompt part that may have another cause than the content that explains the rest. */
    private static final int COINCIDENTAL_CRASHES_OF_PART = 1;

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

        boolean isUnprovenContent() {
            return trait.isContent() && !isProven();
        }

        boolean isConclusive() {
            return crashes >= requiredCrashes(trait, isProven());
        }
    }

    /**
     * Returns the number of crashes that show that a trait ends targets.
     *
     * @param trait the trait
     * @param proven whether responses were generated on the trait before
     * @return the number of crashes since the last response; for a proven trait those within {@value #COINCIDENCE_MS} ms
     *     count as one
     */
    public static int requiredCrashes(RequestTrait trait, boolean proven) {
        return proven && !trait.isContent() ? REQUIRED_CRASHES_OF_PROVEN_PART : REQUIRED_CRASHES;
    }

    /**
     * Attributes crashes to traits. Contents and prompt parts are judged apart, as a request has both. A part is cleared if
     * a single content explains its crashes.
     *
     * @param crashes the crashes, the oldest first
     * @param generatedAt time at which a response was last generated on a trait, in milliseconds; traits on which none is
     *     known are missing
     * @return the traits that end targets, each with the crashes that it explains
     */
    public static Map<RequestTrait, List<TargetCrash>> attribute(
            Collection<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt) {
        Map<RequestTrait, List<TargetCrash>> contents = attribute(crashes, generatedAt, RequestTrait::isContent);
        Map<RequestTrait, List<TargetCrash>> parts = attribute(crashes, generatedAt, trait -> !trait.isContent());
        Map<RequestTrait, List<TargetCrash>> causes = new LinkedHashMap<>(contents);
        parts.forEach((part, explained) -> {
            boolean cleared = contents.values().stream().anyMatch(byContent -> explains(byContent, explained));
            if (!cleared) {
                causes.put(part, explained);
            }
        });
        return causes;
    }

    /**
     * Returns the traits that end targets, or would be found to do so with one more crash.
     *
     * @param crashes the crashes, the oldest first
     * @param generatedAt time at which a response was last generated on a trait, in milliseconds
     * @return the traits, also those whose crashes another trait explains
     */
    static Set<RequestTrait> nearlyConclusive(Collection<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt) {
        Set<RequestTrait> traits = new HashSet<>();
        count(List.copyOf(crashes), generatedAt, trait -> true).forEach((trait, count) -> {
            if (count >= requiredCrashes(trait, generatedAt.containsKey(trait)) - 1) {
                traits.add(trait);
            }
        });
        return traits;
    }

    private static boolean explains(List<TargetCrash> byContent, List<TargetCrash> byPart) {
        List<TargetCrash> others =
                byPart.stream().filter(crash -> !byContent.contains(crash)).toList();
        return independentCrashes(others) <= COINCIDENTAL_CRASHES_OF_PART;
    }

    /**
     * Counts crashes that do not coincide with others.
     *
     * @param crashes the crashes, the oldest first
     * @return the number of crashes, those within {@value #COINCIDENCE_MS} ms counted as one
     */
    static int independentCrashes(List<TargetCrash> crashes) {
        int count = 0;
        long countedAt = 0;
        for (TargetCrash crash : crashes) {
            if (count == 0 || crash.at() > countedAt + COINCIDENCE_MS) {
                count++;
                countedAt = crash.at();
            }
        }
        return count;
    }

    private static Map<RequestTrait, List<TargetCrash>> attribute(
            Collection<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt, Predicate<RequestTrait> kind) {
        List<TargetCrash> unexplained = new ArrayList<>(crashes);
        Map<RequestTrait, List<TargetCrash>> causes = new LinkedHashMap<>();
        for (List<Accused> strongest = strongest(unexplained, generatedAt, kind);
                !strongest.isEmpty();
                strongest = strongest(unexplained, generatedAt, kind)) {
            Set<TargetCrash> explained = new HashSet<>();
            for (Accused cause : strongest) {
                List<TargetCrash> explainedByCause = unexplained.stream()
                        .filter(crash -> crash.suspects().contains(cause.trait()))
                        .toList();
                causes.put(cause.trait(), explainedByCause);
                explained.addAll(explainedByCause);
            }
            unexplained.removeAll(explained);
        }
        return causes;
    }

    /**
     * Returns the traits against which the case is strongest. Among equal prompt parts, that is the one that comes later in
     * its prompt, because fewer requests share it. Equal contents are all accused if no response was ever generated on
     * them, because the next crash would be the price of a wrong choice.
     *
     * @param crashes the crashes that have no known cause
     * @param generatedAt time at which a response was last generated on a trait, in milliseconds
     * @param kind the traits to consider
     * @return the traits, empty if the case against none is conclusive
     */
    private static List<Accused> strongest(
            List<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt, Predicate<RequestTrait> kind) {
        List<Accused> accused = new ArrayList<>();
        count(crashes, generatedAt, kind).forEach((trait, count) -> {
            Accused candidate = new Accused(trait, count, Optional.ofNullable(generatedAt.get(trait)));
            if (candidate.isConclusive()) {
                accused.add(candidate);
            }
        });
        return accused.stream()
                .reduce((former, later) -> Accused.BY_STRENGTH.compare(later, former) >= 0 ? later : former)
                .map(strongest -> strongest.isUnprovenContent()
                        ? accused.stream()
                                .filter(other -> Accused.BY_STRENGTH.compare(other, strongest) == 0)
                                .toList()
                        : List.of(strongest))
                .orElse(List.of());
    }

    /**
     * Counts the crashes of each suspect since a response was last generated on it.
     *
     * @param crashes the crashes that have no known cause, the oldest first
     * @param generatedAt time at which a response was last generated on a trait, in milliseconds
     * @param kind the traits to consider
     * @return the number of crashes by trait, in the order in which they became suspect
     */
    private static Map<RequestTrait, Integer> count(
            List<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt, Predicate<RequestTrait> kind) {
        Map<RequestTrait, Integer> counts = new LinkedHashMap<>();
        Map<RequestTrait, Long> countedAt = new HashMap<>();
        for (TargetCrash crash : crashes) {
            for (RequestTrait suspect : crash.suspects()) {
                Long provenAt = generatedAt.get(suspect);
                boolean coincident = provenAt != null
                        && countedAt.containsKey(suspect)
                        && crash.at() <= countedAt.get(suspect) + COINCIDENCE_MS;
                boolean counted = kind.test(suspect) && !coincident && (provenAt == null || crash.at() > provenAt);
                if (counted) {
                    counts.merge(suspect, 1, Integer::sum);
                    countedAt.put(suspect, crash.at());
                }
            }
        }
        return counts;
    }
}
