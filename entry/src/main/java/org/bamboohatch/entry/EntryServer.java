package org.bamboohatch.entry;

import javax.inject.Inject;
import javax.inject.Singleton;

import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.RequestHandler;

/** Takes the questions of operators' tools. */
@Singleton
public final class EntryServer implements RequestHandler {

    /** The time line of the process. */
    private final Timeline timeline;

    /**
     * Creates a server.
     *
     * @param timeline the time line of the process
     */
    @Inject
    public EntryServer(Timeline timeline) {
        this.timeline = timeline;
    }

    @Override
    public void handle(Message request, Exchange exchange) {
        if (request instanceof GetEvents events) {
            exchange.end(new ControlReply.Events(timeline.events(events.subject()), timeline.lost()));
        }
    }
}
