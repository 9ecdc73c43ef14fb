package org.bamboohatch.gateway.forward;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.PlacementPolicy;

/**
 * Keeps cold engines from being prefill helpers. The responding engine calls its helpers when it begins with the prompt, which
 * may be long after the gateway has sent the request, so that no gateway could keep these calls within the rate of a cold
 * engine.
 */
final class ColdHelpers {

    private ColdHelpers() {}

    /**
     * Selects the targets of a request, without helpers that are cold.
     *
     * @param policy selects the targets
     * @param demand requirements of the request
     * @param candidates targets that may be selected
     * @param engine cost model of the targets, empty if they are not model engines
     * @param isCold indicates whether a target is cold
     * @return the placement; among warm targets if the best one has a cold helper. If all candidates are cold, it is at a
     *     single one, unless the prompt is so long that the first event would be late even at the speed of a warm one
     */
    static Optional<Placement> placeWithout(
            PlacementPolicy policy,
            Demand demand,
            List<Candidate> candidates,
            Optional<EngineCostModel> engine,
            Predicate<TargetName> isCold) {
        Optional<Placement> best = policy.place(demand, candidates, engine);
        if (best.isEmpty() || best.get().prefillHelpers().stream().noneMatch(isCold)) {
            return best;
        }
        List<Candidate> warm = candidates.stream()
                .filter(candidate -> !isCold.test(candidate.name()))
                .toList();
        if (!warm.isEmpty()) {
            return policy.place(demand, warm, engine);
        }
        return candidates.stream()
                .flatMap(candidate -> policy.place(demand, List.of(candidate), engine).stream())
                .filter(placement -> placement.timeToFirstTokenMillis() <= demand.targetLatencyMillis())
                .min(Comparator.comparingDouble(Placement::timeToFirstTokenMillis));
    }
}
