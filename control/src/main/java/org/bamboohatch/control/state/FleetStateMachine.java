package org.bamboohatch.control.state;

import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.FleetText;

/** State machine of the fleet configuration; of all proposed ones, the one with the highest version is retained. */
public final class FleetStateMachine {

    /** The retained configuration, or null before the first. */
    private FleetText current;

    /** Creates a state machine without a configuration. */
    public FleetStateMachine() {}

    /**
     * Replaces the configuration unless the retained one has the same or a higher version.
     *
     * @param request the proposed configuration
     * @return the version that is retained afterwards
     */
    ControlReply replace(ReplaceFleet request) {
        if (request.fleet().version() > version()) {
            current = request.fleet();
        }
        return new ControlReply.FleetReplaced(version());
    }

    /**
     * Returns the retained configuration.
     *
     * @return the configuration, or null before the first
     */
    public FleetText current() {
        return current;
    }

    /**
     * Returns the version of the retained configuration.
     *
     * @return the version, or {@link Long#MIN_VALUE} before the first
     */
    public long version() {
        return current == null ? Long.MIN_VALUE : current.version();
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @param state the configuration, or null if there is none
     */
    void restore(FleetText state) {
        current = state;
    }
}
