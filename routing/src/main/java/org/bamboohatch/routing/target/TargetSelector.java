package org.bamboohatch.routing.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.routing.WaitingRequest;

/** Choice of the target that serves a request now. */
public interface TargetSelector {

    /**
     * Chooses a target.
     *
     * @param request the request
     * @param targets the targets
     * @param longShare the part of an engine's memory that long prompts may hold
     * @param turn number of the decision, for taking turns
     * @return the target, or nothing if the request had better wait
     */
    Optional<TargetView> select(WaitingRequest request, Collection<TargetView> targets, double longShare, long turn);

    /** Targets take turns. */
    enum ForTurns implements TargetSelector {
        /** The only instance. */
        INSTANCE;

        @Override
        public Optional<TargetView> select(
                WaitingRequest request, Collection<TargetView> targets, double longShare, long turn) {
            List<TargetView> able = targets.stream()
                    .filter(TargetView::available)
                    .sorted(Comparator.comparing(TargetView::name))
                    .toList();
            if (able.isEmpty()) {
                return Optional.empty();
            }
            TargetView next = able.get((int) (turn % able.size()));
            return Optional.of(next).filter(target -> target.fits(request.memoryTokens()));
        }
    }

    /** The target with the fewest runs. */
    enum ForFewestRuns implements TargetSelector {
        /** The only instance. */
        INSTANCE;

        @Override
        public Optional<TargetView> select(
                WaitingRequest request, Collection<TargetView> targets, double longShare, long turn) {
            return targets.stream()
                    .filter(target -> target.fits(request.memoryTokens()))
                    .min(Comparator.comparingInt(TargetView::runs).thenComparing(TargetView::name));
        }
    }

    /**
     * The target with the earliest predicted first token. A request waits at the entry, where the order can still
     * change, rather than behind much work of its own class at a target; long prompts hold a part of an engine only.
     */
    enum ForPrediction implements TargetSelector {
        /** The only instance. */
        INSTANCE;

        /** Work of the same or a more urgent priority at a target behind which a request is not put, in milliseconds. */
        private static final double MAX_WAIT_MS = 150;

        /** What a target in another availability zone is worse by, in milliseconds. */
        private static final double ZONE_COST_MS = 10;

        @Override
        public Optional<TargetView> select(
                WaitingRequest request, Collection<TargetView> targets, double longShare, long turn) {
            int priority = request.lengthClass().priority();
            return targets.stream()
                    .filter(target -> target.fits(request.memoryTokens()))
                    .filter(target -> target.waitMillis(priority) <= MAX_WAIT_MS)
                    .filter(target -> hasShareLeft(request, target, longShare))
                    .min(Comparator.comparingDouble((TargetView target) -> cost(target, priority))
                            .thenComparing(TargetView::name));
        }

        /**
         * Predicts the time to the first token, with what other zones cost.
         *
         * @param target the target
         * @param priority priority of the request
         * @return the time in milliseconds
         */
        private static double cost(TargetView target, int priority) {
            double zoneCost = target.sameZone() ? 0 : ZONE_COST_MS;
            double disturbance = target.backlogMillis() / 10;
            return target.waitMillis(priority) + zoneCost + disturbance + target.runs();
        }

        /**
         * Tells whether a long prompt may go to a target; one may always go to a target without other long ones.
         *
         * @param request the request
         * @param target the target
         * @param longShare the part of an engine's memory that long prompts may hold
         * @return whether the share is kept
         */
        private static boolean hasShareLeft(WaitingRequest request, TargetView target, double longShare) {
            boolean capped = request.lengthClass().isLong() && target.longPromptReservedTokens() > 0;
            return !capped
                    || target.longPromptReservedTokens() + request.memoryTokens() <= longShare * target.memoryTokens();
        }
    }
}
