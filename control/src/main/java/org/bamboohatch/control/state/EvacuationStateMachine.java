package org.bamboohatch.control.state;

import java.util.List;
import java.util.TreeSet;

import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.bamboohatch.protocol.message.EvacuatedZones;

/**
 * State machine of the evacuated availability zones. Orders take effect in the order of the log, so the last of several
 * that race holds, and a repeated one changes nothing.
 */
public final class EvacuationStateMachine {

    /** Maximum number of evacuated zones. It bounds each reply to a poll if the settings name no zones. */
    static final int MAX_ZONES = 1_000;

    private EvacuatedZones current = EvacuatedZones.NONE;

    EvacuationStateMachine() {}

    /**
     * Evacuates a zone or ends its evacuation.
     *
     * <p>The version is at least the time of the order. If all control processes have lost their disks, a new group
     * therefore doesn't begin with versions that gateways have seen already. For the same reason the first order of a
     * group gets a version of its own even if it changes nothing.
     *
     * @param request the order
     * @return the set that is in effect afterwards, or a refusal if there are too many evacuated zones
     */
    ControlReply change(ChangeEvacuation request) {
        TreeSet<ZoneName> zones = new TreeSet<>(current.zones());
        boolean changed = request.evacuated() ? zones.add(request.zone()) : zones.remove(request.zone());
        if (zones.size() > MAX_ZONES) {
            return new ControlReply.Invalid(List.of(MAX_ZONES + " availability zones are evacuated already"));
        }
        if (changed || current.version() == 0) {
            current = EvacuatedZones.of(Math.max(current.version() + 1, request.wallTime()), zones);
        }
        return new ControlReply.EvacuationChanged(current);
    }

    /**
     * Returns the evacuated zones.
     *
     * @return the set in effect
     */
    public EvacuatedZones current() {
        return current;
    }

    /**
     * Returns the number of the set in effect.
     *
     * @return the version, zero before the first order
     */
    public long version() {
        return current.version();
    }

    /**
     * Returns the state for a snapshot.
     *
     * @return the set in effect, null before the first order
     */
    EvacuatedZones state() {
        return current.version() == 0 ? null : current;
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @param state the set, null in snapshots from before the first order
     */
    void restore(EvacuatedZones state) {
        current = state == null ? EvacuatedZones.NONE : state;
    }
}
