package org.bamboohatch.routing.admission;

import java.time.Duration;
import java.util.List;

import org.bamboohatch.kernel.id.RequestId;

/** What becomes of an arriving request. */
public sealed interface AdmissionDecision {

    /**
     * The request is admitted, and some waiting ones of accounts over their share are refused at once.
     *
     * @param displaced the requests to refuse
     * @param retryAfter when the refused ones should come back
     */
    record Admit(List<RequestId> displaced, Duration retryAfter) implements AdmissionDecision {

        /** Admission that displaces nobody. */
        public static final Admit WITHOUT_DISPLACEMENT = new Admit(List.of(), Duration.ZERO);

        /** Makes the list immutable. */
        public Admit {
            displaced = List.copyOf(displaced);
        }
    }

    /**
     * The request is refused at once.
     *
     * @param retryAfter when to come back
     * @param overShare whether the account is over its share
     */
    record Refuse(Duration retryAfter, boolean overShare) implements AdmissionDecision {}
}
