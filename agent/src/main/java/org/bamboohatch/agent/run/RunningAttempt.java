package org.bamboohatch.agent.run;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.protocol.message.AgentReply;
import org.bamboohatch.protocol.message.AgentReply.Chunk;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;

/** An attempt at the target with the chunks of its answer, which are kept so that its entry can resume the stream. */
public final class RunningAttempt {

    private final Dispatch dispatch;

    /** Monotonic time at which the run is aborted, in milliseconds. */
    private final long deadline;

    private final List<Chunk> chunks = new ArrayList<>();

    /** The last reply, or {@code null} while the attempt is running. */
    private Message lastReply;

    /** The stream on which replies are sent. */
    private Exchange exchange;

    /** Monotonic time at which the stream was found to be closed, in milliseconds; negative while it is open. */
    private long disconnectedSince = -1;

    /** Monotonic time at which the attempt ended, in milliseconds; negative while it is running. */
    private long endedAt = -1;

    /** Whether the target was requested to cancel the run. */
    private boolean cancelled;

    /**
     * Creates a running attempt without chunks.
     *
     * @param dispatch the dispatched request
     * @param exchange stream on which replies are sent
     * @param now current monotonic time, in milliseconds
     */
    public RunningAttempt(Dispatch dispatch, Exchange exchange, long now) {
        this.dispatch = dispatch;
        this.exchange = exchange;
        this.deadline = now + dispatch.remainingMillis();
    }

    /**
     * Returns the identifier of the attempt, under which an engine reports its run.
     *
     * @return identifier of the attempt
     */
    public AttemptId id() {
        return dispatch.attempt();
    }

    public Dispatch dispatch() {
        return dispatch;
    }

    /**
     * Sends a reply that is neither a chunk nor the last one.
     *
     * @param message the reply to send
     */
    public synchronized void reply(AgentReply message) {
        exchange.reply(message);
    }

    /**
     * Sends a chunk of the answer and keeps it. After the end of the attempt, nothing is sent, and a chunk is kept only if the
     * answer of the run is recorded.
     *
     * @param data bytes of the chunk
     * @param tokens number of output tokens in the chunk
     * @return {@code true} if it is the first chunk
     */
    public synchronized boolean addChunk(byte[] data, int tokens) {
        if (lastReply != null && dispatch.claim() == null) {
            return false;
        }
        Chunk chunk = new Chunk(id(), chunks.size(), tokens, data);
        chunks.add(chunk);
        if (lastReply == null) {
            exchange.reply(chunk);
        }
        return chunks.size() == 1;
    }

    /**
     * Ends the attempt with a last reply. Ignored if the attempt has ended already.
     *
     * @param message the last reply
     * @param now current monotonic time, in milliseconds
     * @return {@code true} if the attempt had not ended before
     */
    public synchronized boolean end(AgentReply message, long now) {
        if (lastReply != null) {
            return false;
        }
        lastReply = message;
        endedAt = now;
        exchange.end(message);
        return true;
    }

    /**
     * Returns the number of chunks received so far.
     *
     * @return number of chunks
     */
    public synchronized int chunkCount() {
        return chunks.size();
    }

    /**
     * Returns the answer as far as it has been received.
     *
     * @return the concatenated chunks
     */
    public synchronized byte[] answer() {
        java.io.ByteArrayOutputStream joined = new java.io.ByteArrayOutputStream();
        chunks.forEach(chunk -> joined.writeBytes(chunk.data()));
        return joined.toByteArray();
    }

    /**
     * Sends the replies from a given chunk again on another stream, which replaces the current one.
     *
     * @param resumed stream on which replies are sent from now on
     * @param fromSequence sequence number of the first chunk to send
     */
    public synchronized void resume(Exchange resumed, long fromSequence) {
        exchange = resumed;
        disconnectedSince = -1;
        for (int index = (int) fromSequence; index < chunks.size(); index++) {
            exchange.reply(chunks.get(index));
        }
        if (lastReply != null) {
            exchange.end(lastReply);
        }
    }

    /**
     * Indicates whether the attempt should be aborted, either because its deadline has passed or because its stream has
     * been closed for too long. A claimed run is not aborted for a closed stream because its answer must be recorded.
     *
     * @param now current monotonic time, in milliseconds
     * @param resumeTimeoutMillis time within which a closed stream can be resumed, in milliseconds
     * @return {@code true} if the attempt is running and should be aborted
     */
    public synchronized boolean shouldAbort(long now, long resumeTimeoutMillis) {
        if (exchange.isOpen()) {
            disconnectedSince = -1;
        } else if (disconnectedSince < 0) {
            disconnectedSince = now;
        }
        boolean disconnected = disconnectedSince >= 0 && now - disconnectedSince >= resumeTimeoutMillis;
        return lastReply == null && (now >= deadline || disconnected && dispatch.claim() == null);
    }

    /**
     * Indicates whether the attempt ended so long ago that it can no longer be resumed.
     *
     * @param now current monotonic time, in milliseconds
     * @param retentionMillis time for which an ended attempt can be resumed, in milliseconds
     * @return {@code true} if the attempt can be discarded
     */
    public synchronized boolean isExpired(long now, long retentionMillis) {
        return endedAt >= 0 && now - endedAt >= retentionMillis;
    }

    /**
     * Indicates whether the attempt is running.
     *
     * @return {@code true} until the last reply has been sent
     */
    public synchronized boolean isRunning() {
        return lastReply == null;
    }

    /**
     * Records that the target is requested to cancel the run.
     *
     * @return {@code true} if this is the first such request
     */
    public synchronized boolean markCancelled() {
        boolean first = !cancelled;
        cancelled = true;
        return first;
    }
}
