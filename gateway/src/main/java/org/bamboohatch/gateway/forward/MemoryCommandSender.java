package org.bamboohatch.gateway.forward;

import java.util.concurrent.TimeUnit;
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
import org.bamboohatch.gateway.target.AnswerListener;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetConnection;
import org.bamboohatch.gateway.target.TargetPool;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Weight;
import org.bamboohatch.routing.fleet.Placement.Allocation;

/** Sends orders about memory over the connections to targets. */
final class MemoryCommandSender implements MemoryReservation.Orders {

    /** Time for an order and its answer, in milliseconds: two round trips between availability zones and a long pass. */
    private static final int ORDER_MS = 600;

    /** Names of the header fields and the words of the orders. */
    private final Dialect dialect;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** Connections to targets. */
    private final TargetPool pool;

    /** The targets. */
    private final TargetRegistry targets;

    /** Log of the decisions. */
    private final DecisionLog log;

    /**
     * Creates a sender.
     *
     * @param dialect names of the header fields and the words of the orders
     * @param loop the thread of all callers
     * @param pool connections to targets
     * @param targets the targets
     * @param log log of the decisions
     */
    MemoryCommandSender(Dialect dialect, EventLoop loop, TargetPool pool, TargetRegistry targets, DecisionLog log) {
        this.dialect = dialect;
        this.loop = loop;
        this.pool = pool;
        this.targets = targets;
        this.log = log;
    }

    @Override
    public void reserve(Allocation allocation, String reservation, long leaseMillis, Consumer<Reply> answered) {
        byte[] order = dialect.memory().reserve(reservation, allocation.tokens(), leaseMillis);
        send("reserve", allocation, reservation, order, answered);
    }

    @Override
    public void release(Allocation allocation, String reservation, Consumer<Reply> answered) {
        send("release", allocation, reservation, dialect.memory().release(reservation), answered);
    }

    /**
     * Sends an order.
     *
     * @param operation what it asks, for the log
     * @param allocation the engine and the memory
     * @param reservation name of the reservation
     * @param body body of the order
     * @param answered takes the reply
     */
    private void send(
            String operation, Allocation allocation, String reservation, byte[] body, Consumer<Reply> answered) {
        if (!targets.isKnown(allocation.engine())) {
            answered.accept(Reply.REFUSED);
            return;
        }
        TargetAddress target = targets.find(allocation.engine());
        Order order = new Order(reply -> {
            Weight weight = reply == Reply.DONE ? Weight.ROUTINE : Weight.FAILURE;
            log.line(weight, operation)
                    .with("target", allocation.engine())
                    .with("reservation", reservation)
                    .with("tokens", allocation.tokens())
                    .with("reply", reply)
                    .write();
            answered.accept(reply);
        });
        order.deadline = loop.schedule(order::onLate, ORDER_MS, TimeUnit.MILLISECONDS);
        pool.acquire(target, true, ORDER_MS, GatewayClock.now(), connection -> {
            if (connection == null) {
                order.finish(Reply.UNANSWERED);
            } else if (order.finished) {
                pool.giveBack(connection, GatewayClock.now());
            } else {
                order.connection = connection;
                connection.send(HttpMethod.POST, dialect.memory().path(), headers(target, body), body, order);
            }
        });
    }

    /**
     * Makes the header fields of an order.
     *
     * @param target where the engine is
     * @param body body of the order
     * @return the fields
     */
    private HttpHeaders headers(TargetAddress target, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.HOST, target.address());
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        headers.set(dialect.expectedTarget(), target.target().value());
        return headers;
    }

    /** An order under way. */
    private static final class Order implements AnswerListener {

        /** Takes the reply. */
        private final Consumer<Reply> answered;

        /** The connection, null before it is open. */
        private TargetConnection connection;

        /** Ends the order when its time has run out. */
        private Future<?> deadline;

        /** What the head of the answer says. */
        private Reply reply = Reply.UNANSWERED;

        /** Whether the reply was handed on. */
        private boolean finished;

        /**
         * Creates an order.
         *
         * @param answered takes the reply
         */
        Order(Consumer<Reply> answered) {
            this.answered = answered;
        }

        @Override
        public void onHead(HttpResponse response) {
            reply = response.status().equals(HttpResponseStatus.OK) ? Reply.DONE : Reply.REFUSED;
        }

        @Override
        public void onContent(ByteBuf part) {
            // The status says all that is needed.
        }

        @Override
        public void onEnd() {
            finish(reply);
        }

        @Override
        public void onLost(String reason) {
            finish(Reply.UNANSWERED);
        }

        /** Ends the order because no answer came in time. */
        private void onLate() {
            if (connection != null) {
                connection.cancel();
            }
            finish(Reply.UNANSWERED);
        }

        /**
         * Hands the reply on, once.
         *
         * @param last the reply
         */
        private void finish(Reply last) {
            if (!finished) {
                finished = true;
                deadline.cancel(false);
                answered.accept(last);
            }
        }
    }
}
