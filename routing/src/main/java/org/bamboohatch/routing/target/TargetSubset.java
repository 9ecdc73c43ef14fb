package org.bamboohatch.routing.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.TargetName;

/**
 * Selects the targets that an entry connects to, by rendezvous hashing. Adding or removing a target changes subsets by
 * that target only, and every target belongs to about the same number of subsets.
 */
public final class TargetSubset {

    /** Maximum number of targets of one service that an entry connects to. */
    public static final int MAX_TARGETS = 18;

    private TargetSubset() {}

    /**
     * Selects up to {@value #MAX_TARGETS} targets for an entry.
     *
     * @param entry host of the entry
     * @param targets all targets of a service
     * @return the targets to connect to, by ascending hash score
     */
    public static List<TargetName> select(HostName entry, Collection<TargetName> targets) {
        return targets.stream()
                .sorted(Comparator.comparingLong((TargetName target) -> score(entry, target))
                        .thenComparing(target -> target))
                .limit(MAX_TARGETS)
                .toList();
    }

    /**
     * Returns the rendezvous score of a target for an entry; the lowest scores are selected.
     *
     * @param entry host of the entry
     * @param target name of the target
     */
    private static long score(HostName entry, TargetName target) {
        return Hashing.komihash5_0().hashCharsToLong(entry + "|" + target);
    }
}
