package org.bamboohatch.gateway.forward;

import java.util.Optional;

import org.bamboohatch.document.fleet.FleetAccount;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.document.fleet.Route;
import org.bamboohatch.kernel.outcome.Refusal;

/** Result of the admission check of one request. */
public sealed interface AdmissionResult {

    /**
     * The request is admitted.
     *
     * @param route the route that matches the host and path of the request
     * @param account client account of the key that was sent, empty if no known key was sent and none is required
     * @param service the service that the route's traffic split selects
     * @param deadline monotonic time by which the request must be answered, in milliseconds
     */
    record Admitted(Route route, Optional<FleetAccount> account, FleetService service, long deadline)
            implements AdmissionResult {}

    /**
     * The request is rejected before any part of it has run.
     *
     * @param refusal the error for the caller
     */
    record Refused(Refusal refusal) implements AdmissionResult {}
}
