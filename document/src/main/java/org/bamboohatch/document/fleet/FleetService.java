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
 */
public record FleetService(
        ServiceName name, String healthPath, int maximumConnections, Optional<EngineCostModel> engineCostModel) {}
