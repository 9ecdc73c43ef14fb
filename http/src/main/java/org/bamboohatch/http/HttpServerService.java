package org.bamboohatch.http;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.kernel.service.Service;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Serves HTTP/1.1 and cleartext HTTP/2, with a header size limit and an idle timeout of connections. A stop waits for a
 * short time until responses in progress are written.
 */
public final class HttpServerService implements Service {

    private static final long IDLE_TIMEOUT_MS = 60_000;

    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private static final int ACCEPT_BACKLOG = 1024;

    private static final int MIN_THREADS = 4;

    /** Time that a stop waits for responses in progress. */
    private static final long STOP_TIMEOUT_MS = 2_000;

    private final String address;

    private final Server server;

    /** Knows the responses that are not completely written. */
    private final GracefulHandler responses = new GracefulHandler();

    /**
     * Creates a server that does not listen yet.
     *
     * @param address address to listen on, as IP:port
     * @param threads maximum number of threads
     * @param handler handles all requests
     */
    public HttpServerService(String address, int threads, Handler handler) {
        this.address = address;
        this.server = new Server(new QueuedThreadPool(threads, MIN_THREADS));
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        configuration.setSendServerVersion(false);
        ServerConnector connector =
                new ServerConnector(
                        server,
                        1,
                        2,
                        new HttpConnectionFactory(configuration),
                        new HTTP2CServerConnectionFactory(configuration)) {

                    @Override
                    protected SocketChannelEndPoint newEndPoint(
                            SocketChannel channel, ManagedSelector selector, SelectionKey key) {
                        SocketChannelEndPoint endPoint = new PeekingEndPoint(channel, selector, key, getScheduler());
                        endPoint.setIdleTimeout(getIdleTimeout());
                        return endPoint;
                    }
                };
        int colon = address.lastIndexOf(':');
        connector.setHost(address.substring(0, colon));
        connector.setPort(Integer.parseInt(address.substring(colon + 1)));
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        connector.setAcceptQueueSize(ACCEPT_BACKLOG);
        server.addConnector(connector);
        responses.setHandler(handler);
        server.setHandler(responses);
    }

    @Override
    public void start() {
        try {
            server.start();
        } catch (Exception failed) {
            throw new IllegalStateException("cannot listen on " + address + ": " + failed.getMessage(), failed);
        }
    }

    @Override
    public void stop() {
        responses
                .shutdown()
                .completeOnTimeout(null, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .join();
        try {
            server.stop();
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }
}
