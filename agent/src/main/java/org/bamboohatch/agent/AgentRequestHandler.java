package org.bamboohatch.agent;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.util.concurrent.atomic.AtomicReference;

import org.bamboohatch.agent.run.AttemptRunner;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.message.AgentReply;
import org.bamboohatch.protocol.message.AgentReply.RefusalReason;
import org.bamboohatch.protocol.message.AgentRequest.Cancel;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.AgentRequest.Resume;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.RequestHandler;

/** Handles the requests of entries, and of operators' tools for the timeline. */
@Singleton
public final class AgentRequestHandler implements RequestHandler {

    private final AgentSettings settings;

    private final AttemptRunner runner;

    private final Timeline timeline;

    private final AtomicReference<AppliedConfiguration> applied = new AtomicReference<>(AppliedConfiguration.NONE);

    /**
     * Creates a handler without an applied configuration.
     *
     * @param settings settings of the agent, which name the service of the target
     * @param runner runner of the attempts
     * @param timeline timeline of the process
     */
    @Inject
    public AgentRequestHandler(AgentSettings settings, AttemptRunner runner, Timeline timeline) {
        this.settings = settings;
        this.runner = runner;
        this.timeline = timeline;
    }

    /**
     * Returns the configuration revisions that the agent has applied.
     *
     * @return the applied revisions
     */
    public AppliedConfiguration applied() {
        return applied.get();
    }

    /**
     * Applies configuration revisions. A revision that is older than the applied one is ignored.
     *
     * @param next the revisions to apply
     */
    public void apply(AppliedConfiguration next) {
        applied.updateAndGet(current -> current.advance(next));
    }

    @Override
    public Message status() {
        return new AgentReply.LoadReport(runner.capacity().load(), applied.get().revision());
    }

    @Override
    public void handle(Message request, Exchange exchange) {
        if (request instanceof Dispatch dispatch) {
            dispatch(dispatch, exchange);
        } else if (request instanceof Resume resume) {
            runner.resume(resume.attempt(), resume.fromSequence(), exchange);
        } else if (request instanceof Cancel cancel) {
            runner.cancel(cancel.attempt());
        } else if (request instanceof GetEvents events) {
            exchange.end(new ControlReply.Events(timeline.events(events.subject()), timeline.lost()));
        }
    }

    /**
     * Runs a dispatched request. Refuses it if it is for another service or was routed with an older document.
     *
     * @param dispatch the dispatched request
     * @param exchange stream on which replies are sent
     */
    private void dispatch(Dispatch dispatch, Exchange exchange) {
        AppliedConfiguration configuration = applied.get();
        if (!dispatch.service().equals(settings.service())) {
            refuse(dispatch, exchange, RefusalReason.WRONG_TARGET);
        } else if (dispatch.revision() < configuration.documentRevision()) {
            refuse(dispatch, exchange, RefusalReason.STALE_REVISION);
        } else {
            runner.run(dispatch, exchange, configuration.revision());
        }
    }

    private void refuse(Dispatch dispatch, Exchange exchange, RefusalReason reason) {
        exchange.end(new AgentReply.Refused(
                dispatch.attempt(),
                reason,
                runner.capacity().load(),
                applied.get().revision()));
    }
}
