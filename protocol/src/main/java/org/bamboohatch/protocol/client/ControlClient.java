package org.bamboohatch.protocol.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;

/**
 * Client that finds the leader of the control processes and sends requests to it. All control requests may be repeated
 * safely, so that a request whose reply is lost is sent again until its timeout elapses.
 */
public final class ControlClient implements ControlCalls {

    /** Default timeout of an attempt, in milliseconds. */
    private static final long ATTEMPT_TIMEOUT_MS = 1_500;

    /** Delay before the next attempt unless another process was named as the leader, in milliseconds. */
    private static final long RETRY_DELAY_MS = 50;

    /** Longest delay before the next attempt, so that a call with a timeout of a second has several attempts. */
    private static final long MAX_RETRY_DELAY_MS = 250;

    /** Number of waiting registrations that make the delay of each longer by {@link #RETRY_DELAY_MS}. */
    private static final int REGISTRATIONS_PER_DELAY = 8;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Network network;

    /** Known addresses of control processes, in the order of the attempts. */
    private volatile List<String> addresses;

    private final long attemptTimeoutMillis;

    private final Map<String, Link> links = new ConcurrentHashMap<>();

    /** Number of registrations that wait for their next attempt. */
    private final AtomicInteger waitingRegistrations = new AtomicInteger();

    /** Address of the process that is assumed to be the leader. */
    private final AtomicReference<String> leader;

    /**
     * Creates a client with the default timeout of an attempt.
     *
     * @param network network that provides the threads of the connections
     * @param addresses addresses of control processes, at least one
     */
    public ControlClient(Network network, List<String> addresses) {
        this(network, addresses, Duration.ofMillis(ATTEMPT_TIMEOUT_MS));
    }

    /**
     * Creates a client with another timeout of an attempt.
     *
     * @param network network that provides the threads of the connections
     * @param addresses addresses of control processes, at least one
     * @param attemptTimeout time after which a request is sent to another process
     */
    public ControlClient(Network network, List<String> addresses, Duration attemptTimeout) {
        this.network = network;
        this.attemptTimeoutMillis = attemptTimeout.toMillis();
        this.addresses = List.copyOf(addresses);
        this.leader = new AtomicReference<>(addresses.get(0));
    }

    @Override
    public CompletableFuture<ControlReply> call(ControlRequest request, Duration timeout) {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        sendAttempt(request, nowMillis() + timeout.toMillis(), reply);
        return reply;
    }

    /**
     * Sends a request once to a given process, whether it leads or not.
     *
     * @param address address of the process, host and port
     * @param request the request to send
     * @param timeout time for connecting and for the reply together
     * @return completed with the reply, or exceptionally if there is none in time
     */
    public CompletableFuture<Message> callOne(String address, ControlRequest request, Duration timeout) {
        return link(address)
                .connect()
                .thenCompose(connection -> connection.call(request, timeout))
                .orTimeout(timeout.toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    /**
     * Adds addresses of control processes, which are contacted after those that are known.
     *
     * @param further the addresses to add, host and port; known ones are ignored
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
     * Replaces the known addresses of the control processes.
     *
     * @param replacement all current addresses, host and port; an empty list is ignored
     */
    public void replaceAddresses(List<String> replacement) {
        if (!replacement.isEmpty() && !replacement.equals(addresses)) {
            addresses = List.copyOf(replacement);
        }
    }

    /** Closes all connections. */
    public void close() {
        links.values().forEach(Link::close);
    }

    /**
     * Sends a request to the assumed leader, or completes it as undecided if its deadline has passed.
     *
     * @param request the request to send
     * @param deadline monotonic time after which there are no further attempts, in milliseconds
     * @param reply completed with the reply of the leader
     */
    private void sendAttempt(ControlRequest request, long deadline, CompletableFuture<ControlReply> reply) {
        long remainingMillis = deadline - nowMillis();
        if (remainingMillis <= 0) {
            reply.complete(new ControlReply.Undecided("control did not answer in time"));
            return;
        }
        String address = leader.get();
        callOne(address, request, Duration.ofMillis(Math.min(remainingMillis, attemptTimeoutMillis)))
                .whenComplete((message, failure) -> {
                    if (failure == null && !(message instanceof ControlReply.NotLeader)) {
                        reply.complete((ControlReply) message);
                    } else {
                        String hint =
                                message instanceof ControlReply.NotLeader notLeader ? notLeader.leaderAddress() : "";
                        retry(request, deadline, reply, address, hint);
                    }
                });
    }

    /**
     * Assumes another process to be the leader and schedules the next attempt.
     *
     * @param request the request to send
     * @param deadline monotonic time after which there are no further attempts, in milliseconds
     * @param reply completed with the reply of the leader
     * @param failed address of the process that did not reply or does not lead
     * @param hint address of the leader according to the process, or an empty string if unknown
     */
    private void retry(
            ControlRequest request, long deadline, CompletableFuture<ControlReply> reply, String failed, String hint) {
        List<String> known = addresses;
        int next = (known.indexOf(failed) + 1) % known.size();
        leader.compareAndSet(failed, hint.isEmpty() ? known.get(next) : hint);
        if (!hint.isEmpty() && !hint.equals(failed)) {
            network.after(Duration.ZERO, () -> sendAttempt(request, deadline, reply));
            return;
        }
        int counted = request instanceof ControlRequest.Register ? 1 : 0;
        long delay = retryDelayMillis(request, waitingRegistrations.addAndGet(counted));
        network.after(Duration.ofMillis(delay), () -> {
            waitingRegistrations.addAndGet(-counted);
            sendAttempt(request, deadline, reply);
        });
    }

    /**
     * Returns the delay before the next attempt of a call. While there is no leader, the attempts of registrations burden the
     * processes that elect one: those of 60 targets, each every 50 ms, were 1,200 a second in the seconds after the
     * programs had started on a fraction of a core, and leaders lost their quorum. So the more of them wait, the longer
     * each of them waits. Targets repeat them anyhow; the other calls, such as those of operators, wait no longer for them.
     *
     * @param request the request of the call
     * @param waiting number of registrations that wait for their next attempt, including this call
     * @return the delay in milliseconds
     */
    static long retryDelayMillis(ControlRequest request, int waiting) {
        if (!(request instanceof ControlRequest.Register)) {
            return RETRY_DELAY_MS;
        }
        return Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * Math.max(1, waiting / REGISTRATIONS_PER_DELAY));
    }

    private Link link(String address) {
        return links.computeIfAbsent(address, added -> new Link(network, added, status -> {}));
    }

    /** Returns the time of the monotonic clock. */
    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}
