package org.bamboohatch.routing.admission;

import java.util.Collection;

import org.bamboohatch.routing.WaitingRequest;
import org.bamboohatch.routing.target.TargetView;

/**
 * State of the targets and the queue of one service as known to an entry at the time of an admission decision.
 *
 * @param targets the known targets
 * @param waiting the waiting requests in order of arrival
 * @param millisPerOutputToken decode time per output token, in milliseconds
 * @param capacityShare share of the targets' capacity that is attributed to this entry
 */
public record PoolView(
        Collection<TargetView> targets,
        Collection<WaitingRequest> waiting,
        double millisPerOutputToken,
        double capacityShare) {

    /**
     * Counts the targets that accept new runs.
     *
     * @return the number of available targets
     */
    public long availableTargets() {
        return targets.stream().filter(TargetView::available).count();
    }

    /**
     * Returns the prefill time per prompt token for this entry's share of all available targets working in parallel.
     *
     * @return the time in milliseconds, zero if no available target has a prefill time
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
     * Returns the shortest time until any available target begins the prefill of a new prompt.
     *
     * @param priority priority of the new prompt; zero is the most urgent
     * @return the wait in milliseconds, zero if no target is available
     */
    public double shortestWaitMillis(int priority) {
        return targets.stream()
                .filter(TargetView::available)
                .mapToDouble(target -> target.waitMillis(priority))
                .min()
                .orElse(0);
    }
}
