package org.bamboohatch.protocol.message;

import java.util.List;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;

/**
 * What shows that requests with some traits end targets. Ages are relative to the time of the message, as no two processes
 * share a clock.
 *
 * @param crashes presumed crashes of targets
 * @param generated when responses were last generated on traits of the crashes
 */
public record CrashEvidence(List<Crash> crashes, List<Generation> generated) {

    /** No evidence. */
    public static final CrashEvidence NONE = new CrashEvidence(List.of(), List.of());

    /** Copies the lists. */
    public CrashEvidence {
        crashes = List.copyOf(crashes);
        generated = List.copyOf(generated);
    }

    /**
     * A presumed crash of a target.
     *
     * @param target name of the target
     * @param incarnation number of its start that ended
     * @param ageMillis time since the crash, in milliseconds
     * @param traits traits that may be the cause; empty if the target has not crashed after all
     * @param attributed whether the traits are known to end targets
     */
    public record Crash(
            TargetName target, long incarnation, long ageMillis, List<RequestTrait> traits, boolean attributed) {

        /** Copies the list. */
        public Crash {
            traits = List.copyOf(traits);
        }

        /**
         * Returns the incarnation that ended.
         *
         * @return name and number of the incarnation
         */
        public TargetIncarnation toIncarnation() {
            return new TargetIncarnation(target, incarnation);
        }
    }

    /**
     * The latest response on a trait.
     *
     * @param trait the trait
     * @param ageMillis time since the response, in milliseconds
     */
    public record Generation(RequestTrait trait, long ageMillis) {}
}
