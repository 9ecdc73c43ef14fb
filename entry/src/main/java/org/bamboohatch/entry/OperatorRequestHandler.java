package org.bamboohatch.entry;

import javax.inject.Inject;
import javax.inject.Singleton;

import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.RequestHandler;

/** Answers requests of operators' tools for timeline events; ignores every other message. */
@Singleton
public final class OperatorRequestHandler implements RequestHandler {

    private final Timeline timeline;

    /**
     * Creates a handler that reads events from a timeline.
     *
     * @param timeline the timeline of the process
     */
    @Inject
    public OperatorRequestHandler(Timeline timeline) {
        this.timeline = timeline;
    }

    @Override
    public void handle(Message request, Exchange exchange) {
        if (request instanceof GetEvents events) {
            exchange.end(new ControlReply.Events(timeline.events(events.subject()), timeline.lost()));
        }
    }
}
