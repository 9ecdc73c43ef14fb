package org.bamboohatch.routing.admission;

import java.util.Collection;

import org.bamboohatch.routing.WaitingRequest;
import org.bamboohatch.routing.target.TargetView;

/**
 * What an entry knows of the targets and the queue of one service when a request arrives.
 *
 * @param targets the targets
 * @param waiting the waiting requests in order of arrival
 * @param millisPerOutputToken time between two answer tokens, in milliseconds
 * @param capacityShare the part of the targets' capacity that this entry may count on
 */
public record PoolView(
        Collection<TargetView> targets,
        Collection<WaitingRequest> waiting,
        double millisPerOutputToken,
        double capacityShare) {

    /**
     * Counts the targets that take work.
     *
     * @return the number of targets
     */
    public long availableTargets() {
        return targets.stream().filter(TargetView::available).count();
    }

    /**
     * Returns the time that the targets need for a prompt token, all together.
     *
     * @return the time in milliseconds
     */
    public double millisPerPromptToken() {
        double rate = targets.stream()
                .filter(TargetView::available)
                .filter(target -> target.millisPerPromptToken() > 0)
                .mapToDouble(target -> 1 / target.millisPerPromptToken())
                .sum();
        return rate == 0 ? 0 : 1 / (rate * capacityShare);
    }

    /**
     * Returns the shortest time until prompts of a priority begin to be processed at any target.
     *
     * @param priority the priority
     * @return the time in milliseconds
     */
    public double shortestWaitMillis(int priority) {
        return targets.stream()
                .filter(TargetView::available)
                .mapToDouble(target -> target.waitMillis(priority))
                .min()
                .orElse(0);
    }
}
