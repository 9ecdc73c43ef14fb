package org.bamboohatch.routing.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.TargetName;

/**
 * The targets that one entry keeps connections to. With rendezvous hashing a target that comes or goes changes the
 * subsets by itself only, and every target is in about equally many subsets.
 */
public final class TargetSubset {

    /** Targets of one service at most that an entry connects to. */
    public static final int MAX_TARGETS = 18;

    /** Not instantiated. */
    private TargetSubset() {}

    /**
     * Selects targets.
     *
     * @param entry the entry's host
     * @param targets all targets of a service
     * @return the targets to connect to
     */
    public static List<TargetName> select(HostName entry, Collection<TargetName> targets) {
        return targets.stream()
                .sorted(Comparator.comparingLong((TargetName target) -> score(entry, target))
                        .thenComparing(target -> target))
                .limit(MAX_TARGETS)
                .toList();
    }

    /**
     * Scores a target for an entry.
     *
     * @param entry the entry's host
     * @param target the target
     * @return the score, the smallest is chosen first
     */
    private static long score(HostName entry, TargetName target) {
        return Hashing.komihash5_0().hashCharsToLong(entry + "|" + target);
    }
}
