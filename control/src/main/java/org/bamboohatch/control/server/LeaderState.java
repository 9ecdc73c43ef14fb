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

    /** Ledger time from which this leader continues, in milliseconds. */
    private long knownLedgerTime;

    /** Monotonic time at which that ledger time was known, in milliseconds. */
    private long knownAt;

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
        this.knownLedgerTime = ledgerTime;
        this.knownAt = now;
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
     * monotonic clock. After a restart the term begins before the entries of the log are applied, so they may advance it.
     *
     * @param applied ledger time of the last applied entry, in milliseconds
     * @param now current monotonic time, in milliseconds
     * @return the ledger time in milliseconds
     */
    long ledgerTime(long applied, long now) {
        if (applied > knownLedgerTime + now - knownAt) {
            knownLedgerTime = applied;
            knownAt = now;
        }
        return knownLedgerTime + now - knownAt;
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
