package org.bamboohatch.gateway.forward;

import java.util.Optional;

import org.bamboohatch.document.fleet.FleetAccount;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.document.fleet.Route;
import org.bamboohatch.kernel.outcome.Refusal;

/** Whether a request is let in. */
public sealed interface AdmissionResult {

    /**
     * The request is let in.
     *
     * @param route its route
     * @param account its client account, empty if the route is open and no known key came with it
     * @param service the service that it goes to
     * @param deadline time at which it must have been answered, in milliseconds
     */
    record Admitted(Route route, Optional<FleetAccount> account, FleetService service, long deadline)
            implements AdmissionResult {}

    /**
     * The request is turned away; nothing of it has run.
     *
     * @param refusal the error
     */
    record Refused(Refusal refusal) implements AdmissionResult {}
}
