package org.bamboohatch.routing;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.bamboohatch.routing.admission.AdmissionControl;
import org.bamboohatch.routing.queue.QueueOrder;
import org.bamboohatch.routing.target.TargetSelector;

/** Sets of decisions that belong together; all but the last are baselines for measurements. */
public enum RoutingPolicy {
    /** First come, first served, targets in turn. */
    FIFO_TURNS(
            QueueOrder.ForArrival.INSTANCE,
            TargetSelector.ForTurns.INSTANCE,
            AdmissionControl.Disabled.INSTANCE,
            false),
    /** First come, first served, the target with the fewest runs. */
    FIFO_FEWEST(
            QueueOrder.ForArrival.INSTANCE,
            TargetSelector.ForFewestRuns.INSTANCE,
            AdmissionControl.Disabled.INSTANCE,
            false),
    /** Fair shares, predicted first token, predicted finish. */
    FAIR_PREDICTED(
            QueueOrder.ForFairShares.INSTANCE,
            TargetSelector.ForPrediction.INSTANCE,
            AdmissionControl.ForPredictedFinish.INSTANCE,
            true);

    /** Order of the queue. */
    private final QueueOrder queueOrder;

    /** Choice of the target. */
    private final TargetSelector targetSelector;

    /** Admission. */
    private final AdmissionControl admissionControl;

    /** Whether engines are told priorities. */
    private final boolean usesPriorities;

    /**
     * Creates a policy.
     *
     * @param queueOrder queueOrder of the queue
     * @param targetSelector targetSelector of the target
     * @param admissionControl admissionControl
     * @param usesPriorities whether engines are told priorities
     */
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
     * Finds a policy by its name in settings.
     *
     * @param label the name
     * @return the policy
     */
    @JsonCreator
    public static RoutingPolicy of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /**
     * Returns the name in settings.
     *
     * @return lower-case words joined by hyphens
     */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the queueOrder of the queue.
     *
     * @return the queueOrder
     */
    public QueueOrder queueOrder() {
        return queueOrder;
    }

    /**
     * Returns the targetSelector of the target.
     *
     * @return the targetSelector
     */
    public TargetSelector targetSelector() {
        return targetSelector;
    }

    /**
     * Returns the admissionControl.
     *
     * @return the admissionControl
     */
    public AdmissionControl admissionControl() {
        return admissionControl;
    }

    /**
     * Returns the priority that the engine is told.
     *
     * @param lengthClass class of the prompt
     * @return the priority, zero is the most urgent
     */
    public int priority(LengthClass lengthClass) {
        return usesPriorities ? lengthClass.priority() : 0;
    }
}
