package org.bamboohatch.document.fleet;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * A service that receives a fraction of the requests of a route.
 *
 * @param service name of the service
 * @param weight weight of the service, relative to the sum of the weights of the route
 */
public record WeightedService(ServiceName service, long weight) {}
