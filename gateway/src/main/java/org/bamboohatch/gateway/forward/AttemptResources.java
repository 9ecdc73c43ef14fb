package org.bamboohatch.gateway.forward;

import java.util.List;

import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.routing.fleet.Placement;

/**
 * The targets of one attempt and the resources that the attempt occupies there.
 *
 * @param placement the targets that were chosen
 * @param target address of the responding target
 * @param helpers value of the header field that lists the helping engines, empty if there are none
 * @param trackedLoad the attempt's load at each of its targets
 * @param memory memory reserved at helping engines
 */
record AttemptResources(
        Placement placement,
        TargetAddress target,
        String helpers,
        List<LoadTracker.TrackedRequest> trackedLoad,
        MemoryReservation memory) {

    /** Copies the list. */
    AttemptResources {
        trackedLoad = List.copyOf(trackedLoad);
    }

    /** Records that the responding target has begun to decode. */
    void beginDecoding() {
        trackedLoad.forEach(LoadTracker.TrackedRequest::beginDecoding);
    }

    /** Removes the load from the tracker and releases the memory. */
    void release() {
        trackedLoad.forEach(LoadTracker.TrackedRequest::end);
        memory.release();
    }
}
