package org.bamboohatch.protocol.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.service.Service;

/** The network threads of a process and the times that connections keep. */
public final class Network implements Service {

    /** Time between two signs of life asked for, in milliseconds. */
    public static final long PING_INTERVAL_MS = 500;

    /** Silence after which a connection is closed, in milliseconds. */
    public static final long SILENCE_LIMIT_MS = 1_500;

    /** Time within which a connection must open, in milliseconds. */
    static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Time that the threads get to end, in milliseconds. */
    private static final long QUIET_MS = 1_000;

    /** The network threads. */
    private final EventLoopGroup group;

    /** The time line of the process. */
    private final Timeline timeline;

    /**
     * Creates the network of a process.
     *
     * @param threads number of network threads
     * @param timeline the time line of the process
     */
    public Network(int threads, Timeline timeline) {
        this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        this.timeline = timeline;
    }

    /**
     * Parses an address.
     *
     * @param address host and port, such as {@code 127.0.0.1:7000}
     * @return the socket address
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Returns the network threads.
     *
     * @return the threads
     */
    EventLoopGroup group() {
        return group;
    }

    /**
     * Returns the time line of the process.
     *
     * @return the time line
     */
    public Timeline timeline() {
        return timeline;
    }

    /**
     * Runs a task again and again on a network thread; the task must not block.
     *
     * @param task the task
     * @param interval the time between two runs
     */
    public void every(Duration interval, Runnable task) {
        group.next().scheduleAtFixedRate(task, interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task once after a delay on a network thread; the task must not block.
     *
     * @param delay the delay
     * @param task the task
     */
    public void after(Duration delay, Runnable task) {
        group.next().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void start() {
        // The threads start with their first task.
    }

    @Override
    public void stop() {
        group.shutdownGracefully(0, QUIET_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(QUIET_MS);
    }
}
