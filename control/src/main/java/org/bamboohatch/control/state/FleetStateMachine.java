package org.bamboohatch.control.state;

import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.FleetText;

/** The fleet configuration: of all that were ever accepted, the one with the highest version is held. */
public final class FleetStateMachine {

    /** The configuration, null before the first. */
    private FleetText current;

    /** Creates a machine without a configuration. */
    public FleetStateMachine() {}

    /**
     * Replaces the configuration unless one with the same or a higher version is held.
     *
     * @param request the request
     * @return what is held afterwards
     */
    ControlReply replace(ReplaceFleet request) {
        if (request.fleet().version() > version()) {
            current = request.fleet();
        }
        return new ControlReply.FleetReplaced(version());
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration, null before the first
     */
    public FleetText current() {
        return current;
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version, the lowest number before the first
     */
    public long version() {
        return current == null ? Long.MIN_VALUE : current.version();
    }

    /**
     * Takes the state of a snapshot.
     *
     * @param state the configuration, null if there was none
     */
    void restore(FleetText state) {
        current = state;
    }
}
