package org.bamboohatch.gateway.configuration;

import org.bamboohatch.gateway.GatewayClock;

/** Provides the current copy of the configuration and the membership. */
public interface FleetViewSource {

    /**
     * Returns the current copy.
     *
     * @return the copy, {@link FleetView#EMPTY} if none has been received yet
     */
    FleetView view();

    /**
     * Returns the age of the copy.
     *
     * @param now current reading of the clocks
     * @return time since the copy was last known to be current, in milliseconds
     */
    long ageMillis(GatewayClock now);
}
