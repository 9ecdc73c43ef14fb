package org.bamboohatch.control.server;

import java.util.List;
import java.util.Map;

import org.bamboohatch.control.membership.GatewayRegistry;
import org.bamboohatch.control.membership.SubscriberRegistry;
import org.bamboohatch.control.membership.TargetRegistry;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;

/** What a leader keeps in memory for the length of its term. */
final class LeaderState {

    /** The term. */
    private final long term;

    /** The targets. */
    private final TargetRegistry targets;

    /** The processes that hold configuration. */
    private final SubscriberRegistry holders;

    /** The gateways that were heard. */
    private final GatewayRegistry gateways;

    /** Ledger time at the beginning of the term. */
    private final long ledgerTimeAtStart;

    /** Time of the beginning of the term. */
    private final long startedAt;

    /** The standing orders by target. */
    private Map<TargetName, List<PlacementOrder>> orders = Map.of();

    /**
     * Begins a term.
     *
     * @param term the term
     * @param ledgerTime the ledger time
     * @param now the present time
     */
    LeaderState(long term, long ledgerTime, long now) {
        this.gateways = new GatewayRegistry(term, now);
        this.term = term;
        this.targets = new TargetRegistry(term, now);
        this.holders = new SubscriberRegistry(now);
        this.ledgerTimeAtStart = ledgerTime;
        this.startedAt = now;
    }

    /**
     * Returns the term.
     *
     * @return the term
     */
    long term() {
        return term;
    }

    /**
     * Returns the targets.
     *
     * @return the registry
     */
    TargetRegistry targets() {
        return targets;
    }

    /**
     * Returns the gateways that were heard.
     *
     * @return the gateways
     */
    GatewayRegistry gateways() {
        return gateways;
    }

    /**
     * Returns the processes that hold configuration.
     *
     * @return the registry
     */
    SubscriberRegistry holders() {
        return holders;
    }

    /**
     * Returns the ledger time, which goes on from the last leader's by the own monotonic clock.
     *
     * @param now the present time
     * @return the ledger time in milliseconds
     */
    long ledgerTime(long now) {
        return ledgerTimeAtStart + now - startedAt;
    }

    /**
     * Returns the standing orders of a target.
     *
     * @param target the target
     * @return the orders
     */
    List<PlacementOrder> orders(TargetName target) {
        return orders.getOrDefault(target, List.of());
    }

    /**
     * Replaces the standing orders.
     *
     * @param planned the orders by target
     */
    void order(Map<TargetName, List<PlacementOrder>> planned) {
        orders = Map.copyOf(planned);
    }
}
