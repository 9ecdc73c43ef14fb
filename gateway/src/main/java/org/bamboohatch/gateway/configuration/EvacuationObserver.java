package org.bamboohatch.gateway.configuration;

import java.util.function.Consumer;

import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.protocol.message.EvacuatedZones;

/** Logs which evacuations of availability zones this gateway begins and ends to apply. */
public final class EvacuationObserver implements Consumer<FleetView> {

    private final DecisionLog log = new DecisionLog("fleet");

    /** The set of the last copy; written by the thread that applies copies, read by any thread. */
    private volatile EvacuatedZones current = EvacuatedZones.NONE;

    /** Creates an observer that has seen no evacuation. */
    public EvacuationObserver() {}

    @Override
    public void accept(FleetView view) {
        EvacuatedZones previous = current;
        current = view.evacuatedZones();
        if (previous.equals(current)) {
            return;
        }
        current.zones().stream().filter(zone -> !previous.contains(zone)).forEach(zone -> write(zone.value(), "begun"));
        previous.zones().stream().filter(zone -> !current.contains(zone)).forEach(zone -> write(zone.value(), "ended"));
    }

    private void write(String zone, String order) {
        log.line(Category.STATE_CHANGE, "evacuation")
                .with("zone", zone)
                .with("order", order)
                .with("version", current.version())
                .write();
    }

    /**
     * Returns the number of evacuated zones.
     *
     * @return the number as of the last copy
     */
    public int evacuatedZones() {
        return current.zones().size();
    }
}
