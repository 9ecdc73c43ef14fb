package org.bamboohatch.document.fleet;

import java.util.Optional;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * A service whose targets gateways call directly.
 *
 * @param name name of the service
 * @param healthPath path at which a target tells whether it is healthy
 * @param maximumConnections connections that a target accepts from all gateways together
 * @param engineCostModel what the work costs if the targets are model engines
 */
public record FleetService(
        ServiceName name, String healthPath, int maximumConnections, Optional<EngineCostModel> engineCostModel) {}
