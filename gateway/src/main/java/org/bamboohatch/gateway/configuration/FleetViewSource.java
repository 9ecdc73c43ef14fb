package org.bamboohatch.gateway.configuration;

import org.bamboohatch.gateway.GatewayClock;

/** A copy of the configuration and the membership that somebody keeps fresh. */
public interface FleetViewSource {

    /**
     * Returns the present copy.
     *
     * @return the copy
     */
    FleetView view();

    /**
     * Tells how old the copy may be.
     *
     * @param now the present moment
     * @return time since the copy was the newest for certain, in milliseconds
     */
    long ageMillis(GatewayClock now);
}
