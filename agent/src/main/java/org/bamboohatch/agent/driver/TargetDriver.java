package org.bamboohatch.agent.driver;

import java.util.concurrent.CompletableFuture;

import org.bamboohatch.kernel.plugin.Plugin;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.eclipse.jetty.client.HttpClient;

/** A plug-in that communicates with one kind of target. */
public interface TargetDriver extends Plugin {

    /**
     * Creates the representation of a target. Nothing is sent to the target yet.
     *
     * @param client HTTP client, which must be started
     * @param targetUrl base URL of the target
     * @return the target at this URL
     */
    Target connect(HttpClient client, String targetUrl);

    /** A target of an agent. */
    interface Target {

        /**
         * Runs a request.
         *
         * @param dispatch the dispatched request
         * @param listener receives the answer
         */
        void run(Dispatch dispatch, RunListener listener);

        /**
         * Requests the target to cancel a run, if it can. There is no indication whether it did.
         *
         * @param id identifier of the run, which is that of its attempt
         */
        void cancel(String id);

        /**
         * Requests the state of the target.
         *
         * @return completed with the state, or exceptionally if the target does not answer
         */
        CompletableFuture<TargetState> state();

        /**
         * Orders the target to load or unload a model. A target without models ignores the order.
         *
         * @param order the placement order
         * @param fence fencing token of the leader that issued the order
         * @return completed when the order has been executed, or exceptionally if it failed
         */
        CompletableFuture<Void> executeOrder(PlacementOrder order, long fence);
    }
}
