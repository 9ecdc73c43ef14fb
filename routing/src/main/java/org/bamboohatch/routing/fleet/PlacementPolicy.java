package org.bamboohatch.routing.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;

/** Ways to choose the target of a request. */
public enum PlacementPolicy {
    /** Baseline: the target with the fewest requests in relation to its slots, near ones first. */
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
    /** The targets at which the first event is predicted to come soonest, with as little harm as possible to others. */
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
     * Chooses a target.
     *
     * @param demand what the request asks
     * @param candidates the targets that may be chosen
     * @param engine what the work costs if the targets are model engines
     * @return the choice, empty if there is no candidate
     */
    public abstract Optional<Placement> place(
            Demand demand, List<Candidate> candidates, Optional<EngineCostModel> engine);

    /**
     * Returns the requests at a target in relation to its slots.
     *
     * @param candidate the target
     * @return the share of its slots, over one if requests wait
     */
    static double occupancy(Candidate candidate) {
        return candidate.slowdownFactor() * (candidate.load().runs() + 1) / Math.max(1, candidate.slots());
    }
}
