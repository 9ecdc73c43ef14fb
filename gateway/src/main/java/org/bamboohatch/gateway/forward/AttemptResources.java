package org.bamboohatch.gateway.forward;

import java.util.List;

import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.routing.fleet.Placement;

/**
 * One way of a request to its targets, and what it occupies there.
 *
 * @param placement the targets
 * @param target where the answering target is
 * @param helpers value of the header field that names the helpers, empty if there are none
 * @param work the work that the request means at its targets
 * @param memory memory that is set aside at helpers
 */
record AttemptResources(
        Placement placement,
        TargetAddress target,
        String helpers,
        List<LoadTracker.TrackedRequest> work,
        MemoryReservation memory) {

    /** Makes the list immutable. */
    AttemptResources {
        work = List.copyOf(work);
    }

    /** Takes note that the answer has begun. */
    void beginWriting() {
        work.forEach(LoadTracker.TrackedRequest::beginWriting);
    }

    /** Ends the work and frees the memory. */
    void end() {
        work.forEach(LoadTracker.TrackedRequest::end);
        memory.end();
    }
}
