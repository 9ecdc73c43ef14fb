package org.bamboohatch.routing;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.bamboohatch.routing.admission.Admission;
import org.bamboohatch.routing.queue.QueueOrder;
import org.bamboohatch.routing.target.TargetChoice;

/** Sets of decisions that belong together; all but the last are baselines for measurements. */
public enum RoutingPolicy {
    /** First come, first served, targets in turn. */
    FIFO_TURNS(QueueOrder.ForArrival.INSTANCE, TargetChoice.ForTurns.INSTANCE, Admission.Disabled.INSTANCE, false),
    /** First come, first served, the target with the fewest runs. */
    FIFO_FEWEST(
            QueueOrder.ForArrival.INSTANCE, TargetChoice.ForFewestRuns.INSTANCE, Admission.Disabled.INSTANCE, false),
    /** Fair shares, predicted first token, predicted finish. */
    FAIR_PREDICTED(
            QueueOrder.ForFairShares.INSTANCE,
            TargetChoice.ForPrediction.INSTANCE,
            Admission.ForPredictedFinish.INSTANCE,
            true);

    /** Order of the queue. */
    private final QueueOrder order;

    /** Choice of the target. */
    private final TargetChoice choice;

    /** Admission. */
    private final Admission admission;

    /** Whether engines are told priorities. */
    private final boolean usesPriorities;

    /**
     * Creates a policy.
     *
     * @param order order of the queue
     * @param choice choice of the target
     * @param admission admission
     * @param usesPriorities whether engines are told priorities
     */
    RoutingPolicy(QueueOrder order, TargetChoice choice, Admission admission, boolean usesPriorities) {
        this.order = order;
        this.choice = choice;
        this.admission = admission;
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
     * Returns the order of the queue.
     *
     * @return the order
     */
    public QueueOrder order() {
        return order;
    }

    /**
     * Returns the choice of the target.
     *
     * @return the choice
     */
    public TargetChoice choice() {
        return choice;
    }

    /**
     * Returns the admission.
     *
     * @return the admission
     */
    public Admission admission() {
        return admission;
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
