package org.bamboohatch.gateway.http;

/** Handles the requests of callers. */
public interface CallerRequestHandler {

    /**
     * Begins to handle a request. The response may be sent before or after the return of this method.
     *
     * @param request the complete request of a caller
     * @param responder sends the response
     * @return listener for the state of the caller's connection until the response has ended
     */
    Listener begin(InboundRequest request, Responder responder);

    /** Listens to the state of a caller's connection while a request is handled. */
    interface Listener {

        /** Invoked when the caller has disconnected before the end of the response. */
        void onDisconnect();

        /** Invoked when the connection accepts more parts of the response after it was not writable. */
        void onWritable();

        /** Listener of a request that was refused. */
        enum Disabled implements Listener {
            /** The only instance. */
            INSTANCE;

            @Override
            public void onDisconnect() {
                // No work to cancel.
            }

            @Override
            public void onWritable() {
                // Nothing left to send.
            }
        }
    }
}
