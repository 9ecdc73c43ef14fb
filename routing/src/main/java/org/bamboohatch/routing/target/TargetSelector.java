package org.bamboohatch.routing.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.routing.WaitingRequest;

/** Strategy that selects the target of a waiting request. */
public interface TargetSelector {

    /**
     * Selects a target that the request can be sent to immediately.
     *
     * @param request the waiting request
     * @param targets all known targets of the service
     * @param longShare share of an engine's memory that long prompts may reserve
     * @param decisionNumber sequence number of the decision, used for round-robin selection
     * @return the target, or empty if the request should remain in the queue
     */
    Optional<TargetView> select(
            WaitingRequest request, Collection<TargetView> targets, double longShare, long decisionNumber);

    /** Selects available targets in rotation. The request waits if the next target has no capacity. */
    enum ForRoundRobin implements TargetSelector {
        /** The singleton instance. */
        INSTANCE;

        @Override
        public Optional<TargetView> select(
                WaitingRequest request, Collection<TargetView> targets, double longShare, long decisionNumber) {
            List<TargetView> availableTargets = targets.stream()
                    .filter(TargetView::available)
                    .sorted(Comparator.comparing(TargetView::name))
                    .toList();
            if (availableTargets.isEmpty()) {
                return Optional.empty();
            }
            TargetView next = availableTargets.get((int) (decisionNumber % availableTargets.size()));
            return Optional.of(next).filter(target -> target.fits(request.memoryTokens()));
        }
    }

    /** Selects the target with the fewest runs among those with capacity. */
    enum ForFewestRuns implements TargetSelector {
        /** The singleton instance. */
        INSTANCE;

        @Override
        public Optional<TargetView> select(
                WaitingRequest request, Collection<TargetView> targets, double longShare, long decisionNumber) {
            return targets.stream()
                    .filter(target -> target.fits(request.memoryTokens()))
                    .min(Comparator.comparingInt(TargetView::runs).thenComparing(TargetView::name));
        }
    }

    /**
     * Selects the target with the lowest predicted time to first token. A request is not queued behind much work of its
     * own or a more urgent priority at a target but remains at the entry, where it can still be reordered. Long prompts
     * are limited to a share of an engine's memory.
     */
    enum ForPredictedLatency implements TargetSelector {
        /** The singleton instance. */
        INSTANCE;

        /** Maximum wait at a target for work of the same or a more urgent priority, in milliseconds. */
        private static final double MAX_WAIT_MS = 150;

        /** Added cost of a target in another availability zone, in milliseconds. */
        private static final double ZONE_COST_MS = 10;

        @Override
        public Optional<TargetView> select(
                WaitingRequest request, Collection<TargetView> targets, double longShare, long decisionNumber) {
            int priority = request.lengthClass().priority();
            return targets.stream()
                    .filter(target -> target.fits(request.memoryTokens()))
                    .filter(target -> target.waitMillis(priority) <= MAX_WAIT_MS)
                    .filter(target -> hasShareLeft(request, target, longShare))
                    .min(Comparator.comparingDouble((TargetView target) -> cost(target, priority))
                            .thenComparing(TargetView::name));
        }

        /**
         * Returns the cost of a target in milliseconds: the wait until the prefill begins, the zone cost, a tenth of
         * the whole backlog and one millisecond per run.
         *
         * @param target the target
         * @param priority priority of the request; zero is the most urgent
         */
        private static double cost(TargetView target, int priority) {
            double zoneCost = target.sameZone() ? 0 : ZONE_COST_MS;
            double backlogCost = target.backlogMillis() / 10;
            return target.waitMillis(priority) + zoneCost + backlogCost + target.runs();
        }

        /**
         * Indicates whether the target has memory left for the request within the share of long prompts. A target
         * without other long prompts of this entry accepts one of any length.
         *
         * @param request the waiting request
         * @param target the target
         * @param longShare share of an engine's memory that long prompts may reserve
         */
        private static boolean hasShareLeft(WaitingRequest request, TargetView target, double longShare) {
            boolean limited = request.lengthClass().isLong() && target.longPromptReservedTokens() > 0;
            return !limited
                    || target.longPromptReservedTokens() + request.memoryTokens() <= longShare * target.memoryTokens();
        }
    }
}
