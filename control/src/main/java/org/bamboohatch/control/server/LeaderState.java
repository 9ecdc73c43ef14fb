package org.bamboohatch.control.server;

import java.util.List;
import java.util.Map;

import org.bamboohatch.control.membership.GatewayRegistry;
import org.bamboohatch.control.membership.SubscriberRegistry;
import org.bamboohatch.control.membership.TargetRegistry;
import org.bamboohatch.control.membership.UnassignedTargets;
import org.bamboohatch.control.state.TargetDeparture;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;

/** Volatile state of a leader, which is created for each term and is not replicated. */
final class LeaderState {

    private final long term;

    private final TargetRegistry targets;

    private final UnassignedTargets unassigned = new UnassignedTargets();

    private final SubscriberRegistry subscribers;

    private final GatewayRegistry gateways;

    /** Ledger time at the start of the term, in milliseconds. */
    private final long ledgerTimeAtStart;

    /** Monotonic time of the start of the term, in milliseconds. */
    private final long startedAt;

    /** Current placement orders by target. */
    private Map<TargetName, List<PlacementOrder>> orders = Map.of();

    /**
     * Creates the state at the start of a term.
     *
     * @param term the leader's term
     * @param departures the recorded departures of targets
     * @param ledgerTime current ledger time, in milliseconds
     * @param now current monotonic time, in milliseconds
     */
    LeaderState(long term, List<TargetDeparture> departures, long ledgerTime, long now) {
        this.gateways = new GatewayRegistry(term, now);
        this.term = term;
        this.targets = new TargetRegistry(term, departures, now);
        this.subscribers = new SubscriberRegistry(now);
        this.ledgerTimeAtStart = ledgerTime;
        this.startedAt = now;
    }

    long term() {
        return term;
    }

    TargetRegistry targets() {
        return targets;
    }

    UnassignedTargets unassigned() {
        return unassigned;
    }

    GatewayRegistry gateways() {
        return gateways;
    }

    SubscriberRegistry subscribers() {
        return subscribers;
    }

    /**
     * Returns the ledger time, which continues from the last applied ledger time at the rate of the leader's
     * monotonic clock.
     *
     * @param now current monotonic time, in milliseconds
     * @return the ledger time in milliseconds
     */
    long ledgerTime(long now) {
        return ledgerTimeAtStart + now - startedAt;
    }

    /**
     * Returns the current placement orders of a target.
     *
     * @param target name of the target
     * @return the orders, empty if there are none
     */
    List<PlacementOrder> orders(TargetName target) {
        return orders.getOrDefault(target, List.of());
    }

    /**
     * Replaces the placement orders of all targets.
     *
     * @param planned the new orders by target
     */
    void replaceOrders(Map<TargetName, List<PlacementOrder>> planned) {
        orders = Map.copyOf(planned);
    }
}
