package org.bamboohatch.routing;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.bamboohatch.routing.admission.AdmissionControl;
import org.bamboohatch.routing.queue.QueueOrder;
import org.bamboohatch.routing.target.TargetSelector;

/**
 * Combinations of queue order, target selection and admission control. All but {@link #FAIR_PREDICTED} are baselines
 * for measurements.
 */
public enum RoutingPolicy {
    /** First come, first served; targets in rotation; admits every request. */
    FIFO_TURNS(
            QueueOrder.ForArrival.INSTANCE,
            TargetSelector.ForRoundRobin.INSTANCE,
            AdmissionControl.Disabled.INSTANCE,
            false),
    /** First come, first served; the target with the fewest runs; admits every request. */
    FIFO_FEWEST(
            QueueOrder.ForArrival.INSTANCE,
            TargetSelector.ForFewestRuns.INSTANCE,
            AdmissionControl.Disabled.INSTANCE,
            false),
    /** Fair shares; the lowest predicted time to first token; admits what is predicted to meet its deadline. */
    FAIR_PREDICTED(
            QueueOrder.ForFairShares.INSTANCE,
            TargetSelector.ForPredictedLatency.INSTANCE,
            AdmissionControl.ForPredictedFinish.INSTANCE,
            true);

    private final QueueOrder queueOrder;

    private final TargetSelector targetSelector;

    private final AdmissionControl admissionControl;

    /** Indicates whether priorities are sent to engines. */
    private final boolean usesPriorities;

    RoutingPolicy(
            QueueOrder queueOrder,
            TargetSelector targetSelector,
            AdmissionControl admissionControl,
            boolean usesPriorities) {
        this.queueOrder = queueOrder;
        this.targetSelector = targetSelector;
        this.admissionControl = admissionControl;
        this.usesPriorities = usesPriorities;
    }

    /**
     * Returns the policy with a name from the settings.
     *
     * @param label lower-case words joined by hyphens
     * @return the policy with this label
     * @throws IllegalArgumentException if there is no such policy
     */
    @JsonCreator
    public static RoutingPolicy of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /**
     * Returns the name of this policy in the settings.
     *
     * @return lower-case words joined by hyphens
     */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    public QueueOrder queueOrder() {
        return queueOrder;
    }

    public TargetSelector targetSelector() {
        return targetSelector;
    }

    public AdmissionControl admissionControl() {
        return admissionControl;
    }

    /**
     * Returns the priority that is sent to the engine with a request.
     *
     * @param lengthClass length class of the prompt
     * @return the priority; zero is the most urgent and is used for all requests if the policy has no priorities
     */
    public int priority(LengthClass lengthClass) {
        return usesPriorities ? lengthClass.priority() : 0;
    }
}
