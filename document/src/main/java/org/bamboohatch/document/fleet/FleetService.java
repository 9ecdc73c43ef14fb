package org.bamboohatch.document.fleet;

import java.util.Optional;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * A service whose targets are called by gateways directly.
 *
 * @param name name of the service
 * @param healthPath path of the health check of its targets
 * @param maximumConnections maximum number of connections that a target accepts from all gateways together
 * @param engineCostModel cost model of the targets, empty if they are not model engines
 * @param coldStartMillis time for which a target is cold after a start, in milliseconds
 * @param coldPerSecond requests per second that a cold target takes from all gateways together; zero if they are not limited
 */
public record FleetService(
        ServiceName name,
        String healthPath,
        int maximumConnections,
        Optional<EngineCostModel> engineCostModel,
        long coldStartMillis,
        double coldPerSecond) {

    /**
     * Creates a service whose targets take any rate of requests from their start.
     *
     * @param name name of the service
     * @param healthPath path of the health check of its targets
     * @param maximumConnections maximum number of connections that a target accepts from all gateways together
     * @param engineCostModel cost model of the targets, empty if they are not model engines
     */
    public FleetService(
            ServiceName name, String healthPath, int maximumConnections, Optional<EngineCostModel> engineCostModel) {
        this(name, healthPath, maximumConnections, engineCostModel, 0, 0);
    }

    /**
     * Indicates whether the rate of requests to a cold target is limited.
     *
     * @return whether the configuration names a rate
     */
    public boolean limitsColdTargets() {
        return coldPerSecond > 0;
    }
}
