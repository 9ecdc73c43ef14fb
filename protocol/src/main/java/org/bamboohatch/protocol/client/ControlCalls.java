package org.bamboohatch.protocol.client;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;

/** Client of the control processes. */
@FunctionalInterface
public interface ControlCalls {

    /**
     * Sends a request to the leader, with as many attempts as the timeout permits.
     *
     * @param request the request to send
     * @param timeout time for all attempts together
     * @return completed with the leader's reply, or with {@link ControlReply.Undecided} if the timeout has elapsed
     */
    CompletableFuture<ControlReply> call(ControlRequest request, Duration timeout);
}
