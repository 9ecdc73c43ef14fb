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

/** Takes the requests of the entries. */
@Singleton
public final class AgentServer implements RequestHandler {

    /** The settings. */
    private final AgentSettings settings;

    /** Runs the attempts. */
    private final AttemptRunner runner;

    /** The time line of the process. */
    private final Timeline timeline;

    /** What the agent knows of the configuration. */
    private final AtomicReference<AppliedConfiguration> applied = new AtomicReference<>(AppliedConfiguration.NONE);

    /**
     * Creates a server.
     *
     * @param settings the settings
     * @param runner runs the attempts
     * @param timeline the time line of the process
     */
    @Inject
    public AgentServer(AgentSettings settings, AttemptRunner runner, Timeline timeline) {
        this.settings = settings;
        this.runner = runner;
        this.timeline = timeline;
    }

    /**
     * Returns what the agent knows of the configuration.
     *
     * @return the applied configuration
     */
    public AppliedConfiguration applied() {
        return applied.get();
    }

    /**
     * Applies a configuration unless a newer one is applied.
     *
     * @param next the configuration
     */
    public void apply(AppliedConfiguration next) {
        applied.updateAndGet(current -> current.advance(next));
    }

    @Override
    public Message status() {
        return new AgentReply.LoadReport(runner.book().load(), applied.get().revision());
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
     * Checks a dispatched request and runs it.
     *
     * @param dispatch the request
     * @param exchange takes the replies
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

    /**
     * Refuses a dispatched request.
     *
     * @param dispatch the request
     * @param exchange takes the reply
     * @param reason the reason
     */
    private void refuse(Dispatch dispatch, Exchange exchange, RefusalReason reason) {
        exchange.end(new AgentReply.Refused(
                dispatch.attempt(), reason, runner.book().load(), applied.get().revision()));
    }
}
