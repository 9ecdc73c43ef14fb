package org.bamboohatch.gateway.http;

/** Takes the requests of callers. */
public interface CallerRequestHandler {

    /**
     * Takes a request.
     *
     * @param request the request
     * @param responder takes its answer
     * @return hears what the caller does meanwhile
     */
    Listener begin(InboundRequest request, Responder responder);

    /** Hears what a caller does while it waits for an answer. */
    interface Listener {

        /** The caller has gone. */
        void onDisconnect();

        /** The caller takes more parts again. */
        void onWritable();
    }
}
