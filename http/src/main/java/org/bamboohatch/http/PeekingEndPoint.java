package org.bamboohatch.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that tells whether its peer has closed it while a request is being handled, when the server does not read.
 * What arrives behind the request is kept for the next read.
 */
final class PeekingEndPoint extends SocketChannelEndPoint {

    private static final int PEEKED_BYTES = 512;

    /** Bytes that were read ahead; guarded by itself. */
    private final ByteBuffer peeked = ByteBuffer.allocate(PEEKED_BYTES).limit(0);

    PeekingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Indicates whether the peer has closed the connection. Must be invoked only between the reads of the server.
     *
     * @return false if there is unread data, since what lies behind it is not known
     */
    boolean isClosedByPeer() {
        synchronized (peeked) {
            if (peeked.hasRemaining()) {
                return false;
            }
            try {
                peeked.clear();
                boolean closed = !isOpen() || getChannel().read(peeked) < 0;
                peeked.flip();
                return closed;
            } catch (IOException reset) {
                peeked.limit(0);
                return true;
            }
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (peeked) {
            if (!peeked.hasRemaining()) {
                return super.fill(buffer);
            }
            return BufferUtil.append(buffer, peeked);
        }
    }

    @Override
    protected void needsFillInterest() {
        boolean readAhead;
        synchronized (peeked) {
            readAhead = peeked.hasRemaining();
        }
        if (readAhead) {
            // The selector does not report data that has been read already.
            getFillInterest().fillable();
        } else {
            super.needsFillInterest();
        }
    }
}
