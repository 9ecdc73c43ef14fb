package org.bamboohatch.routing.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;

/** Strategies that select the targets of a request. */
public enum PlacementPolicy {
    /** Baseline: selects the target with the fewest requests relative to its slots, on a tie in the gateway's zone. */
    FEWEST_RUNS {
        @Override
        public Optional<Placement> place(Demand demand, List<Candidate> candidates, Optional<EngineCostModel> engine) {
            return candidates.stream()
                    .min(Comparator.comparingDouble(PlacementPolicy::occupancy)
                            .thenComparing(candidate -> !candidate.sameZone())
                            .thenComparing(Candidate::name))
                    .map(candidate -> Placement.onSingleTarget(candidate.name(), 0));
        }
    },
    /**
     * Selects engines by the predicted time to first token and the delay caused to other requests. Requests to plain
     * services and engines without a cost model are placed by {@link #FEWEST_RUNS}.
     */
    PREDICTED {
        @Override
        public Optional<Placement> place(Demand demand, List<Candidate> candidates, Optional<EngineCostModel> engine) {
            if (engine.isEmpty() || !demand.isGeneration()) {
                return FEWEST_RUNS.place(demand, candidates, engine);
            }
            return new EnginePlacement(engine.get(), demand).place(candidates);
        }
    };

    /**
     * Selects the targets of a request.
     *
     * @param demand requirements of the request
     * @param candidates targets that may be selected
     * @param engine cost model of the targets, empty if they are not model engines
     * @return the placement, empty if there is no candidate or no engine has enough memory
     */
    public abstract Optional<Placement> place(
            Demand demand, List<Candidate> candidates, Optional<EngineCostModel> engine);

    /**
     * Returns the share of a target's slots that is occupied if it gets one more request, scaled by its slowdown; above
     * one if requests wait.
     *
     * @param candidate the target
     */
    static double occupancy(Candidate candidate) {
        return candidate.slowdownFactor() * (candidate.load().runs() + 1) / Math.max(1, candidate.slots());
    }
}
