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
 * are requested without a coding and not decoded.
 */
public final class TargetHttpClient extends HttpClient {

    /** Creates a client that is not started. */
    public TargetHttpClient() {
        super(new HttpClientTransportOverHTTP(new Connector()));
    }

    @Override
    protected void doStart() throws Exception {
        super.doStart();
        getContentDecoderFactories().clear();
    }

    /** Opens connections on which a reset is not the same as an end. */
    private static final class Connector extends ClientConnector {

        Connector() {
            setSelectors(1);
        }

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new ResettableEndPoint((SocketChannel) channel, selector, key, getScheduler());
        }
    }

    /** End point that reports a failed read, which its superclass takes for the end of the connection. */
    private static final class ResettableEndPoint extends SocketChannelEndPoint {

        ResettableEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
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
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        }
    }
}
