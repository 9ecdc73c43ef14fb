package org.bamboohatch.protocol.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;

/**
 * Sends requests to the control process that leads. Every control request may be sent again, so a request whose
 * reply is lost is repeated until its time runs out.
 */
public final class ControlClient implements ControlCalls {

    /** Time for one reply, in milliseconds. */
    private static final long TRY_TIMEOUT_MS = 1_500;

    /** Pause before another try, in milliseconds. */
    private static final long PAUSE_MS = 50;

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MS = 1_000_000;

    /** The network threads. */
    private final Network network;

    /** Addresses of the control processes. */
    private volatile List<String> addresses;

    /** Time for one try, in milliseconds. */
    private final long tryTimeoutMillis;

    /** Links by address. */
    private final Map<String, Link> links = new ConcurrentHashMap<>();

    /** Address of the process that is believed to lead. */
    private final AtomicReference<String> leader;

    /**
     * Creates a client.
     *
     * @param network the network threads
     * @param addresses addresses of the control processes
     */
    public ControlClient(Network network, List<String> addresses) {
        this(network, addresses, Duration.ofMillis(TRY_TIMEOUT_MS));
    }

    /**
     * Creates a client that gives up a process sooner or later than usual.
     *
     * @param network the network threads
     * @param addresses addresses of the control processes
     * @param tryTimeout time for one try
     */
    public ControlClient(Network network, List<String> addresses, Duration tryTimeout) {
        this.network = network;
        this.tryTimeoutMillis = tryTimeout.toMillis();
        this.addresses = List.copyOf(addresses);
        this.leader = new AtomicReference<>(addresses.get(0));
    }

    @Override
    public CompletableFuture<ControlReply> call(ControlRequest request, Duration timeout) {
        CompletableFuture<ControlReply> answer = new CompletableFuture<>();
        attempt(request, nowMillis() + timeout.toMillis(), answer);
        return answer;
    }

    /**
     * Sends a request to one process, whether it leads or not.
     *
     * @param address address of the process
     * @param request the request
     * @param timeout the time for the reply
     * @return the reply
     */
    public CompletableFuture<Message> callOne(String address, ControlRequest request, Duration timeout) {
        return link(address)
                .connect()
                .thenCompose(connection -> connection.call(request, timeout))
                .orTimeout(timeout.toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    /**
     * Adds processes that may be tried when the known ones do not answer.
     *
     * @param further their addresses
     */
    public void addAddresses(List<String> further) {
        List<String> known = addresses;
        List<String> added =
                further.stream().filter(address -> !known.contains(address)).toList();
        if (!added.isEmpty()) {
            List<String> all = new ArrayList<>(known);
            all.addAll(added);
            addresses = List.copyOf(all);
        }
    }

    /**
     * Takes note of the control processes that there are by now.
     *
     * @param present their addresses; an empty list changes nothing
     */
    public void replaceAddresses(List<String> present) {
        if (!present.isEmpty() && !present.equals(addresses)) {
            addresses = List.copyOf(present);
        }
    }

    /** Closes the connections. */
    public void close() {
        links.values().forEach(Link::close);
    }

    /**
     * Makes one try.
     *
     * @param request the request
     * @param deadline time at which the tries end, in milliseconds
     * @param answer takes the reply
     */
    private void attempt(ControlRequest request, long deadline, CompletableFuture<ControlReply> answer) {
        long left = deadline - nowMillis();
        if (left <= 0) {
            answer.complete(new ControlReply.Undecided("control did not answer in time"));
            return;
        }
        String address = leader.get();
        callOne(address, request, Duration.ofMillis(Math.min(left, tryTimeoutMillis)))
                .whenComplete((message, problem) -> {
                    if (problem == null && !(message instanceof ControlReply.NotLeader)) {
                        answer.complete((ControlReply) message);
                    } else {
                        String hint = message instanceof ControlReply.NotLeader other ? other.leaderAddress() : "";
                        goOn(request, deadline, answer, address, hint);
                    }
                });
    }

    /**
     * Goes on with another process.
     *
     * @param request the request
     * @param deadline time at which the tries end, in milliseconds
     * @param answer takes the reply
     * @param failed the process that did not answer as leader
     * @param hint address of the leader, or an empty text
     */
    private void goOn(
            ControlRequest request, long deadline, CompletableFuture<ControlReply> answer, String failed, String hint) {
        List<String> known = addresses;
        int next = (known.indexOf(failed) + 1) % known.size();
        leader.compareAndSet(failed, hint.isEmpty() ? known.get(next) : hint);
        long pause = hint.isEmpty() || hint.equals(failed) ? PAUSE_MS : 0;
        network.after(Duration.ofMillis(pause), () -> attempt(request, deadline, answer));
    }

    /**
     * Returns the link to a process.
     *
     * @param address its address
     * @return the link
     */
    private Link link(String address) {
        return links.computeIfAbsent(address, added -> new Link(network, added, status -> {}));
    }

    /**
     * Returns the present time of the monotonic clock.
     *
     * @return the time in milliseconds
     */
    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}
