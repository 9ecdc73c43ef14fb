package org.bamboohatch.protocol.client;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;

/** Sends requests to control. */
@FunctionalInterface
public interface ControlCalls {

    /**
     * Sends a request until it is answered by the leader.
     *
     * @param request the request
     * @param timeout the time for all tries
     * @return the reply; {@link ControlReply.Undecided} if the time ran out
     */
    CompletableFuture<ControlReply> call(ControlRequest request, Duration timeout);
}
