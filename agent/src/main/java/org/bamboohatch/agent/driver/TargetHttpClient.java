package org.bamboohatch.agent.driver;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * HTTP client for calls to a target. The reset of a connection fails a response, whatever was received of it before. Bodies
 * are requested without a coding and not decoded. A response over the maximum size fails.
 */
@SuppressWarnings("try")
public final class TargetHttpClient extends HttpClient {

    /** Maximum size of a response's head, in bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /**
     * Maximum size of a connection's responses with heads, interim responses and framing, in bytes. Leaves room for a million
     * events of 256 bytes each.
     */
    private static final long MAX_CONNECTION_BYTES = 256 * 1024 * 1024;

    /** Creates a client that is not started. */
    public TargetHttpClient() {
        this(MAX_CONNECTION_BYTES);
    }

    /**
     * Creates a client with another maximum size, which is not started.
     *
     * @param maximumConnectionBytes maximum size of a connection's responses, in bytes
     */
    TargetHttpClient(long maximumConnectionBytes) {
        super(new HttpClientTransportOverHTTP(new Connector(maximumConnectionBytes)));
        setMaxResponseHeadersSize(MAX_HEAD_BYTES);
    }

    @Override
    protected void doStart() throws Exception {
        super.doStart();
        getContentDecoderFactories().clear();
    }

    /** Opens connections on which a reset is not the same as an end, and whose size is bounded. */
    private static final class Connector extends ClientConnector {

        private final long maximumBytes;

        Connector(long maximumBytes) {
            this.maximumBytes = maximumBytes;
            setSelectors(1);
        }

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new TargetEndPoint((SocketChannel) channel, selector, key, getScheduler(), maximumBytes);
        }
    }

    /** End point that reports a failed read, which its superclass takes for the end of the connection. */
    private static final class TargetEndPoint extends SocketChannelEndPoint {

        private final long maximumBytes;

        private long receivedBytes;

        TargetEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler,
                long maximumBytes) {
            super(channel, selector, key, scheduler);
            this.maximumBytes = maximumBytes;
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            if (receivedBytes > maximumBytes) {
                throw new IOException("response over " + maximumBytes + " bytes");
            }
            int position = BufferUtil.flipToFill(buffer);
            int filled;
            try {
                filled = getChannel().read(buffer);
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
            if (filled > 0) {
                notIdle();
                receivedBytes += filled;
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        }
    }
}
