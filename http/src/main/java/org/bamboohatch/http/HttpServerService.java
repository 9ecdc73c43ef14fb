package org.bamboohatch.http;

import org.bamboohatch.kernel.service.Service;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** An HTTP server for HTTP/1.1 and HTTP/2 in clear text, with bounded headers and idle connections. */
public final class HttpServerService implements Service {

    /** The longest idle time of a connection, in milliseconds. */
    private static final long IDLE_TIMEOUT_MS = 60_000;

    /** The largest request header, in bytes. */
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /** Connections that may wait to be accepted. */
    private static final int ACCEPT_QUEUE = 1024;

    /** Threads at least. */
    private static final int MIN_THREADS = 4;

    /** Address to listen on. */
    private final String address;

    /** The server. */
    private final Server server;

    /**
     * Creates a server.
     *
     * @param address address to listen on, as IP:port
     * @param threads threads at most
     * @param handler handles the requests
     */
    public HttpServerService(String address, int threads, Handler handler) {
        this.address = address;
        this.server = new Server(new QueuedThreadPool(threads, MIN_THREADS));
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        configuration.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(
                server,
                1,
                2,
                new HttpConnectionFactory(configuration),
                new HTTP2CServerConnectionFactory(configuration));
        int colon = address.lastIndexOf(':');
        connector.setHost(address.substring(0, colon));
        connector.setPort(Integer.parseInt(address.substring(colon + 1)));
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
        server.setHandler(handler);
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
        try {
            server.stop();
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }
}
