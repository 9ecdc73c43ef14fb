package org.bamboohatch.routing.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.kernel.id.RequestTrait;

/**
 * Decides which gateway may send a single request in spite of its quarantine, and when. Without a trial, a sound request
 * that was under way at several targets that ended would be refused until its quarantine expires, because no response
 * could clear it.
 */
final class TrialSchedule {

    /** Time without a crash after which a trial may take place, in milliseconds. */
    static final long DELAY_MS = 10_000;

    private List<String> gateways = List.of("");

    private String self = "";

    /** Traits for which this gateway has begun a trial. */
    private final Set<RequestTrait> begun = new HashSet<>();

    /**
     * Sets the gateways among which trials are shared out.
     *
     * @param gateways names of all gateways
     * @param self name of this gateway
     */
    void setGateways(Collection<String> gateways, String self) {
        this.gateways = List.copyOf(gateways);
        this.self = self;
    }

    /**
     * Indicates whether it is time for a trial.
     *
     * @param firstConclusiveAt time at which enough crashes had shown that a trait ends targets, in milliseconds
     * @param lastCrashAt time of its last crash, in milliseconds; much later than the former if a trial has failed
     * @param now current time, in milliseconds
     * @return whether there was no crash for some time and no trial has failed
     */
    boolean isDue(long firstConclusiveAt, long lastCrashAt, long now) {
        return lastCrashAt < firstConclusiveAt + DELAY_MS && now >= lastCrashAt + DELAY_MS;
    }

    /**
     * Begins a trial, unless another gateway has to or this one has done so before.
     *
     * @param trait the trait in quarantine
     * @return whether the trial begins
     */
    boolean begin(RequestTrait trait) {
        return isOwner(trait) && begun.add(trait);
    }

    /**
     * Forgets the trials of traits that are no longer in quarantine.
     *
     * @param quarantined the traits in quarantine
     */
    void retain(Set<RequestTrait> quarantined) {
        begun.retainAll(quarantined);
    }

    /**
     * Indicates whether this gateway is the one that tries a trait, by rendezvous hashing.
     *
     * @param trait the trait
     * @return whether this gateway has the lowest score of all
     */
    private boolean isOwner(RequestTrait trait) {
        return gateways.stream()
                .min(Comparator.comparingLong((String gateway) -> score(trait, gateway))
                        .thenComparing(gateway -> gateway))
                .filter(self::equals)
                .isPresent();
    }

    private static long score(RequestTrait trait, String gateway) {
        return Hashing.komihash5_0().hashCharsToLong(trait.value() + "|" + gateway);
    }
}
