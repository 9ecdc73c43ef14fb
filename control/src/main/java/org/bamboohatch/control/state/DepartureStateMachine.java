package org.bamboohatch.control.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.TargetName;

/**
 * State machine of the targets that have left, so that the next leader knows of the departures that an earlier one has
 * acknowledged. A late announcement would otherwise bring such a target back.
 */
public final class DepartureStateMachine {

    /** Ledger time for which a departure is retained, in milliseconds. */
    static final long RETENTION_MS = 600_000;

    /** Number of departures that are retained at most; the earliest is dropped first. */
    static final int MAX_DEPARTURES = 10_000;

    /** The latest departure of each target, in the order in which they were recorded. */
    private final Map<TargetName, Recorded> departures = new LinkedHashMap<>();

    DepartureStateMachine() {}

    /**
     * A departure in the state.
     *
     * @param departure the departure
     * @param time ledger time at which it was recorded, in milliseconds
     */
    record Recorded(TargetDeparture departure, long time) {}

    /**
     * Records a departure, unless the recorded one of the target includes it, and drops those whose retention has passed.
     *
     * @param departure the departure
     * @param time ledger time, in milliseconds
     */
    void record(TargetDeparture departure, long time) {
        Recorded known = departures.get(departure.target());
        if (known == null || !known.departure().includes(departure)) {
            departures.remove(departure.target());
            departures.put(departure.target(), new Recorded(departure, time));
        }
        Iterator<Recorded> earliest = departures.values().iterator();
        while (earliest.hasNext()
                && (time - earliest.next().time() > RETENTION_MS || departures.size() > MAX_DEPARTURES)) {
            earliest.remove();
        }
    }

    /**
     * Returns the recorded departure of a target.
     *
     * @param target name of the target
     * @return the latest departure, empty if none is retained
     */
    public Optional<TargetDeparture> find(TargetName target) {
        return Optional.ofNullable(departures.get(target)).map(Recorded::departure);
    }

    /**
     * Returns all recorded departures.
     *
     * @return the latest departure of each target
     */
    public List<TargetDeparture> all() {
        return departures.values().stream().map(Recorded::departure).toList();
    }

    /**
     * Returns the state for a snapshot.
     *
     * @return the departures in the order in which they were recorded
     */
    List<Recorded> state() {
        return new ArrayList<>(departures.values());
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @param state the departures, null in snapshots of versions that recorded none
     */
    void restore(List<Recorded> state) {
        departures.clear();
        if (state != null) {
            state.forEach(recorded -> departures.put(recorded.departure().target(), recorded));
        }
    }
}
