package org.bamboohatch.agent.run;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.protocol.message.AgentReply;
import org.bamboohatch.protocol.message.AgentReply.Chunk;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;

/** One attempt at the target with the parts of its answer, which an entry may ask for again. */
public final class RunningAttempt {

    /** The dispatched request. */
    private final Dispatch dispatch;

    /** Time by which the run must end, in milliseconds of the agent's monotonic clock. */
    private final long deadline;

    /** The parts of the answer. */
    private final List<Chunk> chunks = new ArrayList<>();

    /** The last message, or null while the attempt runs. */
    private Message last;

    /** Takes the messages. */
    private Exchange exchange;

    /** Time since which nobody listens, or a negative number. */
    private long unheardSince = -1;

    /** Time of the end, or a negative number while the attempt runs. */
    private long endedAt = -1;

    /** Whether the target has been told to end the run. */
    private boolean cancelled;

    /**
     * Creates an attempt.
     *
     * @param dispatch the dispatched request
     * @param exchange takes the messages
     * @param now the present time, in milliseconds
     */
    public RunningAttempt(Dispatch dispatch, Exchange exchange, long now) {
        this.dispatch = dispatch;
        this.exchange = exchange;
        this.deadline = now + dispatch.remainingMillis();
    }

    /**
     * Returns the identifier of the attempt.
     *
     * @return the identifier
     */
    public AttemptId id() {
        return dispatch.attempt();
    }

    /**
     * Returns the dispatched request.
     *
     * @return the request
     */
    public Dispatch dispatch() {
        return dispatch;
    }

    /**
     * Sends a message that is neither a part nor the last.
     *
     * @param message the message
     */
    public synchronized void tell(AgentReply message) {
        exchange.reply(message);
    }

    /**
     * Adds a part of the answer.
     *
     * @param data the part
     * @param tokens answer tokens in the part
     * @return whether it is the first part
     */
    public synchronized boolean add(byte[] data, int tokens) {
        if (last != null) {
            return false;
        }
        Chunk chunk = new Chunk(id(), chunks.size(), tokens, data);
        chunks.add(chunk);
        exchange.reply(chunk);
        return chunks.size() == 1;
    }

    /**
     * Ends the attempt; only the first end counts.
     *
     * @param message the last message
     * @param now the present time, in milliseconds
     * @return whether this was the first end
     */
    public synchronized boolean end(AgentReply message, long now) {
        if (last != null) {
            return false;
        }
        last = message;
        endedAt = now;
        exchange.end(message);
        return true;
    }

    /**
     * Returns the number of parts so far.
     *
     * @return the number
     */
    public synchronized int size() {
        return chunks.size();
    }

    /**
     * Returns the whole answer so far.
     *
     * @return the joined parts
     */
    public synchronized byte[] answer() {
        java.io.ByteArrayOutputStream joined = new java.io.ByteArrayOutputStream();
        chunks.forEach(chunk -> joined.writeBytes(chunk.data()));
        return joined.toByteArray();
    }

    /**
     * Goes on with another exchange.
     *
     * @param resumed takes the messages from now on
     * @param from number of the first part that is lacking
     */
    public synchronized void resume(Exchange resumed, long from) {
        exchange = resumed;
        unheardSince = -1;
        for (int index = (int) from; index < chunks.size(); index++) {
            exchange.reply(chunks.get(index));
        }
        if (last != null) {
            exchange.end(last);
        }
    }

    /**
     * Tells whether the attempt should be ended now: its time is over, or nobody has listened for a while.
     *
     * @param now the present time, in milliseconds
     * @param patience time for which a lost listener may come back, in milliseconds
     * @return whether it should be ended
     */
    public synchronized boolean isOverdue(long now, long patience) {
        if (exchange.isOpen()) {
            unheardSince = -1;
        } else if (unheardSince < 0) {
            unheardSince = now;
        }
        boolean unheard = unheardSince >= 0 && now - unheardSince >= patience;
        return last == null && (now >= deadline || unheard && dispatch.claim() == null);
    }

    /**
     * Tells whether the attempt may be forgotten.
     *
     * @param now the present time, in milliseconds
     * @param patience time for which an ended attempt may be asked for, in milliseconds
     * @return whether it ended long ago
     */
    public synchronized boolean isForgettable(long now, long patience) {
        return endedAt >= 0 && now - endedAt >= patience;
    }

    /**
     * Tells whether the attempt runs.
     *
     * @return whether it has not ended
     */
    public synchronized boolean isRunning() {
        return last == null;
    }

    /**
     * Takes note that the target is told to end the run.
     *
     * @return whether this was the first time
     */
    public synchronized boolean markCancelled() {
        boolean first = !cancelled;
        cancelled = true;
        return first;
    }
}
