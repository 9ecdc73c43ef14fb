package org.bamboohatch.document.fleet;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * A service that takes part of a route's requests.
 *
 * @param service the service
 * @param weight its part, in relation to the sum of the route's weights
 */
public record WeightedService(ServiceName service, long weight) {}
