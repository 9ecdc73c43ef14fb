package org.bamboohatch.routing.admission;

import java.time.Duration;
import java.util.List;

import org.bamboohatch.kernel.id.RequestId;

/** Outcome of admission control for an arriving request. */
public sealed interface AdmissionDecision {

    /**
     * Admits the request and refuses waiting requests of other accounts, if any, to make room for it.
     *
     * @param displaced the waiting requests to refuse
     * @param retryAfter time after which the callers of the displaced requests should retry
     */
    record Admit(List<RequestId> displaced, Duration retryAfter) implements AdmissionDecision {

        /** Admits the request without displacing another one. */
        public static final Admit WITHOUT_DISPLACEMENT = new Admit(List.of(), Duration.ZERO);

        /** Copies the list to keep the record immutable. */
        public Admit {
            displaced = List.copyOf(displaced);
        }
    }

    /**
     * Refuses the request.
     *
     * @param retryAfter time after which the caller should retry
     * @param overShare whether the account exceeds its share, rather than the service being overloaded
     */
    record Refuse(Duration retryAfter, boolean overShare) implements AdmissionDecision {}
}
