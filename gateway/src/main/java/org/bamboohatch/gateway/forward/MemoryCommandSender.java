package org.bamboohatch.gateway.forward;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.forward.MemoryReservation.Reply;
import org.bamboohatch.gateway.target.HttpTargetConnection;
import org.bamboohatch.gateway.target.LossCause;
import org.bamboohatch.gateway.target.ResponseListener;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetConnectionPool;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.routing.fleet.Placement.Allocation;

/** Sends memory commands to engines over the pooled connections to targets. */
final class MemoryCommandSender implements MemoryReservation.CommandSender {

    /** Timeout of a memory command, in milliseconds: two round trips between availability zones and a long engine pass. */
    private static final int COMMAND_TIMEOUT_MS = 600;

    private final Dialect dialect;

    private final EventLoop loop;

    private final TargetConnectionPool pool;

    private final TargetCatalog targets;

    private final DecisionLog log;

    /**
     * Creates a sender of memory commands.
     *
     * @param dialect names of the header fields and format of the memory commands
     * @param loop the event loop that serves all callers
     * @param pool connections to targets
     * @param targets the known targets
     * @param log the decision log
     */
    MemoryCommandSender(
            Dialect dialect, EventLoop loop, TargetConnectionPool pool, TargetCatalog targets, DecisionLog log) {
        this.dialect = dialect;
        this.loop = loop;
        this.pool = pool;
        this.targets = targets;
        this.log = log;
    }

    @Override
    public void reserve(Allocation allocation, String name, long leaseMillis, Consumer<Reply> onReply) {
        byte[] command = dialect.memory().reserve(name, allocation.tokens(), leaseMillis);
        send("reserve", allocation, name, command, () -> !targets.isEvacuated(allocation.engine()), onReply);
    }

    @Override
    public void renew(Allocation allocation, String name, long leaseMillis, Consumer<Reply> onReply) {
        byte[] command = dialect.memory().reserve(name, allocation.tokens(), leaseMillis);
        send("reserve", allocation, name, command, () -> true, onReply);
    }

    @Override
    public void release(Allocation allocation, String name, Consumer<Reply> onReply) {
        send("release", allocation, name, dialect.memory().release(name), () -> true, onReply);
    }

    /**
     * Sends a memory command. An engine that is no longer a member, or to which the command may not be sent once the
     * connection is open, counts as refusing it. One that is cold gets it only if this gateway's share of its rate allows.
     *
     * @param operation event name in the decision log
     * @param allocation the engine and the size of the memory
     * @param name name of the reservation
     * @param body body of the command
     * @param mayBeSent whether the command may be sent, evaluated right before that
     * @param onReply invoked once; receives {@link Reply#UNANSWERED} if the connection fails or the timeout expires
     */
    private void send(
            String operation,
            Allocation allocation,
            String name,
            byte[] body,
            BooleanSupplier mayBeSent,
            Consumer<Reply> onReply) {
        if (!targets.isKnown(allocation.engine())) {
            onReply.accept(Reply.REFUSED);
            return;
        }
        TargetAddress target = targets.find(allocation.engine());
        long now = GatewayClock.now();
        if (targets.isCold(allocation.engine(), now) && !targets.acquireCommand(target, now)) {
            // A cold engine counts commands like requests. Unless a later one fits its rate, its lease ends the
            // reservation.
            onReply.accept(Reply.UNANSWERED);
            return;
        }
        PendingCommand command = new PendingCommand(reply -> {
            Category category = reply == Reply.DONE ? Category.ROUTINE : Category.FAILURE;
            log.line(category, operation)
                    .with("target", allocation.engine())
                    .with("reservation", name)
                    .with("tokens", allocation.tokens())
                    .with("reply", reply)
                    .write();
            onReply.accept(reply);
        });
        command.timeout = loop.schedule(command::onTimeout, COMMAND_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        pool.acquire(target, true, false, COMMAND_TIMEOUT_MS, now, connection -> {
            if (connection == null) {
                command.finish(Reply.UNANSWERED);
            } else if (command.finished) {
                pool.returnUnused(connection, GatewayClock.now());
            } else if (!mayBeSent.getAsBoolean()) {
                pool.returnUnused(connection, GatewayClock.now());
                command.finish(Reply.REFUSED);
            } else {
                command.connection = connection;
                connection.send(HttpMethod.POST, dialect.memory().path(), headers(target, body), body, command);
            }
        });
    }

    private HttpHeaders headers(TargetAddress target, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.HOST, target.address());
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        headers.set(dialect.expectedTarget(), target.target().value());
        return headers;
    }

    /** A memory command whose reply is pending. */
    private static final class PendingCommand implements ResponseListener {

        private final Consumer<Reply> onReply;

        /** The connection, null until it is open. */
        private HttpTargetConnection connection;

        private Future<?> timeout;

        /** Reply according to the status of the response. */
        private Reply reply = Reply.UNANSWERED;

        /** Whether {@link #onReply} was invoked. */
        private boolean finished;

        PendingCommand(Consumer<Reply> onReply) {
            this.onReply = onReply;
        }

        @Override
        public void onHead(HttpResponse response) {
            reply = response.status().equals(HttpResponseStatus.OK) ? Reply.DONE : Reply.REFUSED;
        }

        @Override
        public void onContent(ByteBuf part) {
            // The status alone carries the reply.
        }

        @Override
        public void onEnd() {
            finish(reply);
        }

        @Override
        public void onLost(LossCause cause) {
            finish(Reply.UNANSWERED);
        }

        private void onTimeout() {
            if (connection != null) {
                connection.cancel();
            }
            finish(Reply.UNANSWERED);
        }

        private void finish(Reply result) {
            if (!finished) {
                finished = true;
                timeout.cancel(false);
                onReply.accept(result);
            }
        }
    }
}
