package org.bamboohatch.agent.driver;

import java.util.concurrent.CompletableFuture;

import org.bamboohatch.kernel.plugin.Plugin;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.eclipse.jetty.client.HttpClient;

/** A plug-in that speaks with one kind of target. */
public interface TargetDriver extends Plugin {

    /**
     * Connects to a target.
     *
     * @param client the HTTP client
     * @param targetUrl address of the target
     * @return the connection
     */
    Target connect(HttpClient client, String targetUrl);

    /** A target that an agent speaks with. */
    interface Target {

        /**
         * Runs a request.
         *
         * @param dispatch the request
         * @param listener hears the answer
         */
        void run(Dispatch dispatch, RunListener listener);

        /**
         * Asks the target to end a run.
         *
         * @param id identifier of the run
         */
        void cancel(String id);

        /**
         * Asks the target for its state.
         *
         * @return the state
         */
        CompletableFuture<TargetState> state();

        /**
         * Tells the target to load or unload a model.
         *
         * @param order the order
         * @param fence the fencing number
         * @return completes when the order is carried out
         */
        CompletableFuture<Void> order(PlacementOrder order, long fence);
    }
}
