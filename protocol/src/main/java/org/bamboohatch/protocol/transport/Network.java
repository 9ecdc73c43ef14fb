package org.bamboohatch.protocol.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.service.Service;

/** The network threads of a process, and the timeouts of its connections. */
public final class Network implements Service {

    /** Interval of the heartbeats that a client sends, in milliseconds. */
    public static final long PING_INTERVAL_MS = 500;

    /** Time without received data after which either end closes a connection, in milliseconds. */
    public static final long READ_TIMEOUT_MS = 1_500;

    /** Timeout of the TCP connect, and then of the first heartbeat reply, in milliseconds. */
    static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Time within which the threads must terminate on shutdown, in milliseconds. */
    private static final long SHUTDOWN_TIMEOUT_MS = 1_000;

    private final EventLoopGroup group;

    private final Timeline timeline;

    /**
     * Creates the network threads of a process.
     *
     * @param threads number of network threads
     * @param timeline timeline of the process, whose clock stamps the frames that are sent
     */
    public Network(int threads, Timeline timeline) {
        this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        this.timeline = timeline;
    }

    /**
     * Parses the address of a server.
     *
     * @param address host and port, such as {@code 127.0.0.1:7000}
     * @return the socket address
     * @throws IllegalArgumentException if the address has no host, no port or one that is not from 0 to 65,535
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no host and port: " + address);
        }
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Parses the address of a server that another process has announced.
     *
     * @param address host and port
     * @return the socket address, empty if it is malformed or no connection can be made to its port
     */
    public static Optional<InetSocketAddress> parseAnnounced(String address) {
        try {
            return Optional.of(parse(address)).filter(parsed -> parsed.getPort() > 0);
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    EventLoopGroup group() {
        return group;
    }

    public Timeline timeline() {
        return timeline;
    }

    /**
     * Schedules a task at a fixed rate on a network thread.
     *
     * @param interval time until the first execution and between the starts of two executions
     * @param task the task, which must not block or throw; an exception ends its executions
     */
    public void every(Duration interval, Runnable task) {
        group.next().scheduleAtFixedRate(task, interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Schedules a single execution of a task on a network thread.
     *
     * @param delay time until the execution
     * @param task the task, which must not block
     */
    public void after(Duration delay, Runnable task) {
        group.next().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void start() {
        // The threads are started with their first task.
    }

    @Override
    public void stop() {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MS);
    }
}
